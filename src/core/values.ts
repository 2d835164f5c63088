/** Reading JSON that others wrote: typed accessors that never trust a shape. */

export type Json = Readonly<Record<string, unknown>>;

export function asObject(value: unknown): Json | null {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? (value as Json) : null;
}

export function parseJson(source: string): unknown {
  try {
    return JSON.parse(source) as unknown;
  } catch {
    return undefined;
  }
}

export const isText = (value: unknown): value is string => typeof value === 'string' && value.length > 0;
export const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
export const isAmount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;
export const isFlag = (value: unknown): value is boolean => typeof value === 'boolean';
