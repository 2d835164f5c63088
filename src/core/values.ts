/** Reads JSON that others wrote: typed accessors that never trust a shape. */

/** A JSON object of which no field is known. */
export type Json = Readonly<Record<string, unknown>>;

/** The value as a JSON object; null if it is not one. */
export function asObject(value: unknown): Json | null {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? (value as Json) : null;
}

/** The value that a text stands for; undefined if it is not JSON. */
export function parseJson(source: string): unknown {
  try {
    return JSON.parse(source) as unknown;
  } catch {
    return undefined;
  }
}

/** Whether a value is a text that is not empty. */
export const isText = (value: unknown): value is string => typeof value === 'string' && value.length > 0;

/** Whether a value is a whole number, 0 or more. */
export const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

/** Whether a value is a finite number, 0 or more. */
export const isAmount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

/** Whether a value is a boolean. */
export const isFlag = (value: unknown): value is boolean => typeof value === 'boolean';
