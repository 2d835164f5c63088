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

/**
 * Returns how many items, starting at index `from`, make up one portion. `usedBytes`: what else the portion's frame
 * carries; without it, a portion has at least one item.
 */
export function portionLength<T>(
  items: readonly T[],
  bytesOf: (item: T) => number,
  from = 0,
  usedBytes = 0,
): number {
  let bytes = usedBytes;
  let count = 0;
  for (const item of items.slice(from, from + MAX_PORTION_ITEMS)) {
    bytes += bytesOf(item);
    const mayEndHere = count > 0 || usedBytes > 0;
    if (mayEndHere && bytes > MAX_PORTION_BYTES) break;
    count += 1;
  }
  return count;
}

/**
 * Splits the items into portions, in their order; an empty list has no portions. `usedBytes`: what else the first
 * portion's frame carries; that portion may be empty.
 */
export function portionsOf<T>(items: readonly T[], bytesOf: (item: T) => number, usedBytes = 0): T[][] {
  const portions: T[][] = [];
  for (let from = 0; from < items.length;) {
    const length = portionLength(items, bytesOf, from, portions.length === 0 ? usedBytes : 0);
    portions.push(items.slice(from, from + length));
    from += length;
  }
  return portions;
}
