/**
 * Cuts what is too large for one frame between controllers into portions. Versions before portions take
 * frames of up to 64 KiB with 2,000 names each; they read the first frame of several, and pass the others over.
 */

/** Of a list that is cut, the most items in one portion. */
const MAX_PORTION_ITEMS = 2000;
/** Of a list that is cut, the most bytes in one portion; the rest of a frame of 64 KiB is for all else. */
const MAX_PORTION_BYTES = 40 * 1024;
/** Bytes that the length and the tag of a name take, at most. */
const NAME_OVERHEAD_BYTES = 4;

/** Bytes that a machine's name takes in a message, at most. */
export const nameBytes = (name: string): number => Buffer.byteLength(name) + NAME_OVERHEAD_BYTES;

/** How many of the items from `from` on make up one portion. */
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

/** The items in portions, in their order; none of an empty list. */
export function portionsOf<T>(items: readonly T[], bytesOf: (item: T) => number): T[][] {
  const portions: T[][] = [];
  for (let from = 0; from < items.length;) {
    const length = portionLength(items, bytesOf, from);
    portions.push(items.slice(from, from + length));
    from += length;
  }
  return portions;
}
