/**
 * Wire format of the cloud provider's API. Only this module contains its field names. The parsers return `null` for
 * malformed input.
 */
import type { ListedMachine, MachineType } from '../core/types.js';
import { asObject, isNonNegativeNumber, isBoolean, isNonEmptyString } from '../core/values.js';

function parseType(body: unknown): MachineType | null {
  const raw = asObject(body);
  if (raw === null) return null;
  const { name, cores, gpus, memGb, cacheGb, fetchGbPerS, hourly, lowPrice, readyS, halls } = raw;
  if (!isNonEmptyString(name) || !isNonNegativeNumber(cores) || !isNonNegativeNumber(memGb)) return null;
  if (
    !isNonNegativeNumber(hourly) ||
    !isNonNegativeNumber(readyS) ||
    !Array.isArray(halls) ||
    !halls.every(isNonEmptyString)
  )
    return null;
  const amountOr = (value: unknown, fallback: number): number =>
    isNonNegativeNumber(value) ? value : fallback;
  return {
    name,
    cpus: cores,
    gpus: amountOr(gpus, 0),
    memoryGb: memGb,
    cacheGb: amountOr(cacheGb, 0),
    fetchGbPerS: amountOr(fetchGbPerS, 0),
    price: hourly,
    spotPrice: amountOr(lowPrice, hourly),
    bootS: readyS,
    zones: halls,
  };
}

function parseList<T>(value: unknown, parse: (entry: unknown) => T | null): T[] | null {
  if (!Array.isArray(value)) return null;
  const parsedEntries: T[] = [];
  for (const entry of value as unknown[]) {
    const parsed = parse(entry);
    if (parsed === null) return null;
    parsedEntries.push(parsed);
  }
  return parsedEntries;
}

/** Reads the machine types that the provider offers. */
export function parseCatalog(body: unknown): MachineType[] | null {
  return parseList(asObject(body)?.['benches'], parseType);
}

const MACHINE_STAGES = new Map<unknown, ListedMachine['stage']>([
  ['starting', 'booting'],
  ['running', 'running'],
  ['failed', 'failed'],
]);

function parseMachine(body: unknown): ListedMachine | null {
  const raw = asObject(body);
  if (raw === null) return null;
  const stage = MACHINE_STAGES.get(raw['stage']);
  const { nameId, bench, hall, borrowed, heldS } = raw;
  if (
    stage === undefined ||
    !isNonEmptyString(nameId) ||
    !isNonEmptyString(bench) ||
    !isNonEmptyString(hall) ||
    !isBoolean(borrowed)
  ) {
    return null;
  }
  return {
    name: nameId,
    address: isNonEmptyString(raw['address']) ? raw['address'] : '',
    type: bench,
    zone: hall,
    spot: borrowed,
    stage,
    ageS: isNonNegativeNumber(heldS) ? heldS : 0,
  };
}

/** Reads one page of the list of provisioned machines. */
export function parseMachinePage(body: unknown): { machines: ListedMachine[]; more: boolean } | null {
  const machines = parseList(asObject(body)?.['skiffs'], parseMachine);
  return machines === null ? null : { machines, more: asObject(body)?.['truncated'] === true };
}

/** Reads the names of newly provisioned machines. */
export function parseProvisioned(body: unknown): string[] | null {
  return parseList(asObject(body)?.['skiffs'], (entry) => (isNonEmptyString(entry) ? entry : null));
}

/** Encodes a request for machines; `request` is its idempotency key. */
export function encodeProvisionRequest(
  request: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): string {
  return JSON.stringify({ charter: request, bench: type, hall: zone, borrowed: spot, howMany: count });
}

/** Encodes a request to terminate machines. */
export function encodeTerminateRequest(machines: readonly string[]): string {
  return JSON.stringify({ skiffs: machines });
}
