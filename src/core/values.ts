/** Parsing and type guards for JSON that other processes have written, whose shape is never trusted. */

/** A JSON object whose fields are not validated yet. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** The value as a JSON object; null if it is not one. */
export function asObject(value: unknown): JsonObject | null {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? (value as JsonObject) : null;
}

/** Parses a JSON text; undefined if it is not valid JSON. */
export function parseJson(source: string): unknown {
  try {
    return JSON.parse(source) as unknown;
  } catch {
    return undefined;
  }
}

/** Whether a value is a non-empty string. */
export const isNonEmptyString = (value: unknown): value is string =>
  typeof value === 'string' && value.length > 0;

/** Whether a value is a non-negative safe integer. */
export const isNonNegativeInteger = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

/** Whether a value is a finite, non-negative number. */
export const isNonNegativeNumber = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

/** Whether a value is a boolean. */
export const isBoolean = (value: unknown): value is boolean => typeof value === 'boolean';
