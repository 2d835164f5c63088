/**
 * Splits lists that are too large for one frame between controllers into portions. Versions before portions accept
 * frames of up to 64 KiB with 2,000 names each; of several frames they read the first and ignore the others.
 */

/** Maximum number of items in one portion of a split list. */
const MAX_PORTION_ITEMS = 2000;
/** Maximum bytes in one portion of a split list; the rest of the 64 KiB frame is left to the other fields. */
const MAX_PORTION_BYTES = 40 * 1024;
/** Upper bound of the bytes that the length prefix and the field tag of a name take. */
const NAME_OVERHEAD_BYTES = 4;

/** Upper bound of the bytes that a machine's name takes in a message. */
export const nameBytes = (name: string): number => Buffer.byteLength(name) + NAME_OVERHEAD_BYTES;

/** Returns how many items, starting at index `from`, make up one portion. */
export function portionLength<T>(items: readonly T[], bytesOf: (item: T) => number, from = 0): number {
  let bytes = 0;
  let count = 0;
  for (const item of items.slice(from, from + MAX_PORTION_ITEMS)) {
    bytes += bytesOf(item);
    if (count > 0 && bytes > MAX_PORTION_BYTES) break;
    count += 1;
  }
  return count;
}

/** Splits the items into portions, in their order; an empty list has no portions. */
export function portionsOf<T>(items: readonly T[], bytesOf: (item: T) => number): T[][] {
  const portions: T[][] = [];
  for (let from = 0; from < items.length;) {
    const length = portionLength(items, bytesOf, from);
    portions.push(items.slice(from, from + length));
    from += length;
  }
  return portions;
}
