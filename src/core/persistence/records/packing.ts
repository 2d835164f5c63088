/** Splits lists that do not fit into one value of the key-value store. */

/** Upper estimate of the bytes of a record besides the list that it holds. */
const ENVELOPE_BYTES = 64;

/**
 * Splits a list so that each part, written as JSON within a record, fits into a value of `maxValueBytes`.
 * An item that does not fit by itself is left out.
 */
export function packByBytes<T>(items: readonly T[], maxValueBytes: number): T[][] {
  const maxPartBytes = maxValueBytes - ENVELOPE_BYTES;
  const parts: T[][] = [];
  let remainingBytes = 0;
  for (const item of items) {
    const bytes = Buffer.byteLength(JSON.stringify(item)) + 1;
    if (bytes > maxPartBytes) continue;
    if (bytes > remainingBytes) {
      parts.push([]);
      remainingBytes = maxPartBytes;
    }
    parts.at(-1)?.push(item);
    remainingBytes -= bytes;
  }
  return parts;
}
