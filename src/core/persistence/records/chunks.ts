/** Chunk records, in the format of the first versions and in a compact format. Both can be decoded. */
import type { ChunkRecord, Claim } from '../../types.js';
import { asObject, isNonNegativeNumber, isNonNegativeInteger, type JsonObject } from '../../values.js';

/** A claim in the format of the first versions; `createdAt` in epoch milliseconds. */
type ClaimRow = readonly [attempt: number, machine: string, agentEpoch: number, createdAt: number];

/** Unit of the claims' ages in the compact format. */
const AGE_UNIT_MS = 100;

/** Encodes a chunk record in the format of the first versions. */
export function encodeChunk(record: ChunkRecord): unknown {
  const claims: Record<string, ClaimRow> = {};
  for (const [task, claim] of Object.entries(record.claims)) {
    claims[task] = [claim.attempt, claim.machine, claim.agentEpoch, claim.createdAt];
  }
  return {
    of: [record.team, record.cpus, record.gpus, record.memoryGb],
    done: record.done,
    attempts: record.attempts,
    claims,
  };
}

/**
 * Encodes a chunk record in the compact format: claims grouped by machine and agent epoch, each as
 * `task.attempt.age`. `at` is the time of the latest claim; the age is in tenths of a second before it.
 */
export function encodeCompactChunk(record: ChunkRecord): unknown {
  let latest = 0;
  for (const claim of Object.values(record.claims)) latest = Math.max(latest, claim.createdAt);
  const claimsByAgent: Record<string, string> = {};
  for (const [task, { attempt, machine, agentEpoch, createdAt }] of Object.entries(record.claims)) {
    const agent = `${machine}:${agentEpoch}`;
    const claim = `${task}.${attempt}.${Math.round((latest - createdAt) / AGE_UNIT_MS)}`;
    const previous = claimsByAgent[agent];
    claimsByAgent[agent] = previous === undefined ? claim : `${previous} ${claim}`;
  }
  return {
    of: [record.team, record.cpus, record.gpus, record.memoryGb],
    done: record.done,
    ...(Object.keys(record.attempts).length === 0 ? {} : { attempts: record.attempts }),
    ...(latest === 0 ? {} : { at: latest, on: claimsByAgent }),
  };
}

function decodeClaims(rows: JsonObject): Record<string, Claim> {
  const claims: Record<string, Claim> = {};
  for (const [task, row] of Object.entries(rows)) {
    const [attempt, machine, agentEpoch, createdAt] = row as ClaimRow;
    claims[task] = { attempt, machine, agentEpoch, createdAt };
  }
  return claims;
}

/** Decodes claims of the compact format; null: some part is malformed. */
function decodeCompactClaims(latest: unknown, claimsByAgent: JsonObject): Record<string, Claim> | null {
  const claims: Record<string, Claim> = {};
  if (!isNonNegativeNumber(latest)) return null;
  for (const [agent, list] of Object.entries(claimsByAgent)) {
    const [, machine, agentEpoch] = /^(.+):(\d+)$/.exec(agent) ?? [];
    if (machine === undefined || typeof list !== 'string') return null;
    for (const claim of list.split(' ')) {
      const [task, attempt, age] = claim.split('.').map(Number);
      if (!isNonNegativeInteger(task) || !isNonNegativeInteger(attempt) || !isNonNegativeInteger(age))
        return null;
      const createdAt = latest - AGE_UNIT_MS * age;
      claims[task] = { attempt, machine, agentEpoch: Number(agentEpoch), createdAt };
    }
  }
  return claims;
}

/** Decodes a chunk record of either format; null if the value is not one. */
export function decodeChunk(value: unknown): ChunkRecord | null {
  const raw = asObject(value);
  if (raw === null || !Array.isArray(raw['of'])) return null;
  const [team, cpus, gpus, memoryGb] = raw['of'] as [string, number, number, number];
  const attempts = asObject(raw['attempts'] ?? {});
  const claimsByAgent = asObject(raw['on']);
  const claims =
    claimsByAgent === null
      ? decodeClaims(asObject(raw['claims']) ?? {})
      : decodeCompactClaims(raw['at'], claimsByAgent);
  if (attempts === null || claims === null) return null;
  return {
    team,
    cpus,
    gpus,
    memoryGb,
    done: String(raw['done']),
    attempts: attempts as Record<string, number>,
    claims,
  };
}
