/**
 * Wire format of the key-value store's API. Only this module contains its field names. The parsers return `null` for
 * malformed input.
 */
import type { Transaction } from '../core/types.js';
import { asObject, isNonNegativeInteger, isNonEmptyString } from '../core/values.js';

/** A stored entry; its revision is that of its last modification. */
export interface Entry {
  readonly key: string;
  readonly value: unknown;
  readonly modRevision: number;
}

/** A change of one key. */
export interface KeyChange {
  readonly key: string;
  /** `undefined`: the key was removed. */
  readonly value: unknown;
  readonly modRevision: number;
}

/** Encodes a compare-and-swap. */
export function encodeTransaction(txn: Transaction): string {
  return JSON.stringify({
    when: txn.preconditions.map(({ key, modRevision }) => ({ key, stamp: modRevision })),
    apply: txn.mutations.map((mutation) =>
      'put' in mutation
        ? {
            put: mutation.put,
            data: mutation.value,
            ...(mutation.lease === undefined ? {} : { permit: mutation.lease }),
          }
        : { remove: mutation.remove },
    ),
  });
}

/** Reads an entry in the store's format. */
function parseEntry(body: unknown): Entry | null {
  const raw = asObject(body);
  if (raw === null || !isNonEmptyString(raw['key']) || !isNonNegativeInteger(raw['stamp'])) return null;
  return { key: raw['key'], value: raw['data'], modRevision: raw['stamp'] };
}

/** Reads the response to a read of one key. */
export const parseValue = parseEntry;

/** Reads the store's revision, which every response carries. */
export function parseRevision(body: unknown): number | null {
  const revision = asObject(body)?.['ledgerRev'];
  return isNonNegativeInteger(revision) ? revision : null;
}

/** Reads the keys whose preconditions failed. */
export function parseFailedKeys(body: unknown): string[] | null {
  const failed = asObject(body)?.['failed'];
  return Array.isArray(failed) && failed.every(isNonEmptyString) ? failed : null;
}

/** Reads one page of a list. */
export function parsePage(body: unknown): { entries: Entry[]; more: boolean; revision: number } | null {
  const raw = asObject(body);
  const revision = parseRevision(body);
  if (raw === null || revision === null || !Array.isArray(raw['rows'])) return null;
  const entries: Entry[] = [];
  for (const row of raw['rows'] as unknown[]) {
    const entry = parseEntry(row);
    if (entry === null) return null;
    entries.push(entry);
  }
  return { entries, more: raw['truncated'] === true, revision };
}

/** Reads the response of a watch; the returned changes are sorted by revision. */
export function parseChanges(body: unknown): { changes: KeyChange[]; revision: number } | null {
  const raw = asObject(body);
  const revision = parseRevision(body);
  if (raw === null || revision === null || !Array.isArray(raw['events'])) return null;
  const changes: KeyChange[] = [];
  for (const body of raw['events'] as unknown[]) {
    const event = asObject(body);
    if (event === null || !isNonNegativeInteger(event['stamp'])) return null;
    if (isNonEmptyString(event['put'])) {
      changes.push({ key: event['put'], value: event['data'], modRevision: event['stamp'] });
    } else if (isNonEmptyString(event['remove'])) {
      changes.push({ key: event['remove'], value: undefined, modRevision: event['stamp'] });
    } else {
      return null;
    }
  }
  // If they were applied in another order, the removal of a key created in the same response could be lost.
  changes.sort((one, other) => one.modRevision - other.modRevision);
  return { changes, revision };
}

/** Reads the id of a granted lease. */
export function parseLease(body: unknown): number | null {
  const lease = asObject(body)?.['permit'];
  return isNonNegativeInteger(lease) ? lease : null;
}

/** Encodes a request for a lease with this time to live, in milliseconds. */
export const encodeLeaseRequest = (ttlMs: number): string => JSON.stringify({ lifeMs: Math.round(ttlMs) });
