/** Wire format of the cloud provider's interface. The only place with its field names. The parsers return `null` for what is malformed. */
import type { ListedMachine, MachineType } from '../core/types.js';
import { asObject, isAmount, isFlag, isText } from '../core/values.js';

function parseType(body: unknown): MachineType | null {
  const raw = asObject(body);
  if (raw === null) return null;
  const { name, cores, gpus, memGb, cacheGb, fetchGbPerS, hourly, lowPrice, readyS, halls } = raw;
  if (!isText(name) || !isAmount(cores) || !isAmount(memGb)) return null;
  if (!isAmount(hourly) || !isAmount(readyS) || !Array.isArray(halls) || !halls.every(isText)) return null;
  const or = (value: unknown, fallback: number): number => (isAmount(value) ? value : fallback);
  return {
    name,
    cpus: cores,
    gpus: or(gpus, 0),
    memoryGb: memGb,
    cacheGb: or(cacheGb, 0),
    fetchGbPerS: or(fetchGbPerS, 0),
    price: hourly,
    spotPrice: or(lowPrice, hourly),
    bootS: readyS,
    zones: halls,
  };
}

function parseList<T>(value: unknown, parse: (entry: unknown) => T | null): T[] | null {
  if (!Array.isArray(value)) return null;
  const out: T[] = [];
  for (const entry of value as unknown[]) {
    const parsed = parse(entry);
    if (parsed === null) return null;
    out.push(parsed);
  }
  return out;
}

/** Reads the machine types on offer. */
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
  if (stage === undefined || !isText(nameId) || !isText(bench) || !isText(hall) || !isFlag(borrowed)) {
    return null;
  }
  return {
    name: nameId,
    address: isText(raw['address']) ? raw['address'] : '',
    type: bench,
    zone: hall,
    spot: borrowed,
    stage,
    ageS: isAmount(heldS) ? heldS : 0,
  };
}

/** Reads one page of the machines held. */
export function parseMachinePage(body: unknown): { machines: ListedMachine[]; more: boolean } | null {
  const machines = parseList(asObject(body)?.['skiffs'], parseMachine);
  return machines === null ? null : { machines, more: asObject(body)?.['truncated'] === true };
}

/** Reads the names of the machines provisioned. */
export function parseProvisioned(body: unknown): string[] | null {
  return parseList(asObject(body)?.['skiffs'], (entry) => (isText(entry) ? entry : null));
}

/** A request for machines; `request` is its idempotency key. */
export function encodeProvisionRequest(
  request: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): string {
  return JSON.stringify({ charter: request, bench: type, hall: zone, borrowed: spot, howMany: count });
}

/** A request to terminate machines. */
export function encodeTerminateRequest(machines: readonly string[]): string {
  return JSON.stringify({ skiffs: machines });
}
