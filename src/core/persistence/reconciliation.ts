/**
 * Reconciliation: after a commit of which the outcome is unknown, or a precondition failed, the leader reads again
 * what the commit touched before it goes on. A transaction that got no answer may still be applied; with the
 * revisions read anew, at most one of it and its successor is.
 */
import type { Effect, ReconciledRecords } from '../effects.js';
import { finalOutcomeOf } from '../jobs/dependencies.js';
import type { CommitInFlight, JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import { storedChunkKey } from './chunks.js';
import { markDirty } from './dirty-jobs.js';
import { endJob } from './job-lifecycle.js';

/** Marks what a commit touched as unknown, and asks for it to be read. Nothing is committed until it has been. */
export function beginReconciliation(state: CoreState, commit: CommitInFlight, effects: Effect[]): void {
  const jobs = new Set<string>([...commit.completing, ...commit.cancelling].map((job) => job.spec.id));
  const keys: string[] = [];
  for (const { job, chunk } of commit.chunks) {
    chunk.modRevision = null;
    jobs.add(job.spec.id);
    keys.push(storedChunkKey(state, job, chunk));
  }
  for (const { job, key } of commit.superseded) {
    const superseded = job.supersededChunks.get(key);
    if (superseded !== undefined) superseded.modRevision = null;
    jobs.add(job.spec.id);
    keys.push(key);
  }
  state.pendingReconciliation = [...jobs];
  effects.push({ kind: 'reconcile', jobs: [...jobs], chunks: keys });
}

/** Keys of a job's records whose revision is unknown. */
function unknownKeysOf(state: CoreState, job: JobState): string[] {
  const keys: string[] = [];
  for (const chunk of job.chunks.values())
    if (chunk.modRevision === null) keys.push(storedChunkKey(state, job, chunk));
  for (const [key, { modRevision }] of job.supersededChunks) if (modRevision === null) keys.push(key);
  return keys;
}

/** Takes in how the records of a job were found. */
function reconcileJob(state: CoreState, job: JobState, found: ReconciledRecords, now: Now): void {
  const stored = found.jobs.get(job.spec.id);
  if (job.finalStage === null && stored !== undefined && !stored.live) {
    const { ended } = stored;
    endJob(state, job, ended?.stage ?? 'withdrawn', ended === null ? null : finalOutcomeOf(ended, now));
  }
  for (const chunk of job.chunks.values()) {
    if (chunk.modRevision !== null) continue;
    chunk.modRevision = found.chunks.get(storedChunkKey(state, job, chunk)) ?? 0;
    if (job.finalStage === null) chunk.committedVersion = Math.min(chunk.committedVersion, chunk.version - 1);
  }
  for (const [key, superseded] of job.supersededChunks) {
    if (superseded.modRevision !== null) continue;
    const modRevision = found.chunks.get(key);
    if (modRevision === undefined) job.supersededChunks.delete(key);
    else superseded.modRevision = modRevision;
  }
  markDirty(state, job);
}

/** Takes in the records read. Null: the key-value store did not answer; they are asked for again. */
export function settleReconciliation(
  state: CoreState,
  found: ReconciledRecords | null,
  now: Now,
  effects: Effect[],
): void {
  const ids = state.pendingReconciliation;
  if (ids === null) return;
  const jobs = ids.map((id) => state.jobs.get(id)).filter((job) => job !== undefined);
  if (found === null) {
    const chunks = jobs.flatMap((job) => unknownKeysOf(state, job));
    effects.push({ kind: 'reconcile', jobs: ids, chunks });
    return;
  }
  state.pendingReconciliation = null;
  state.commitNotBefore = now.monotonicMs;
  for (const job of jobs) reconcileJob(state, job, found, now);
}
