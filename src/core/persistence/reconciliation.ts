/**
 * Reconciliation: after a commit whose outcome is unknown or whose preconditions failed, the leader reads the records
 * that the commit touched again before it commits anything else. A transaction without an answer may still be applied
 * later. The next one is conditional on the revisions that were read after it, so at most one of the two is applied.
 */
import type { Effect, ReconciledRecords } from '../effects.js';
import { finalOutcomeOf } from '../jobs/dependencies.js';
import type { CommitInFlight, JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import { storedChunkKey } from './chunks.js';
import { markDirty } from './dirty-jobs.js';
import { endJob } from './job-lifecycle.js';

/** Marks the records that a commit touched as unknown and requests their read. No commit is made until then. */
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
  state.pendingReconciliation = { id: commit.id, jobs: [...jobs] };
  effects.push({ kind: 'reconcile', id: commit.id, jobs: [...jobs], chunks: keys });
}

/** Keys of a job's records whose revision is unknown. */
function unknownKeysOf(state: CoreState, job: JobState): string[] {
  const keys: string[] = [];
  for (const chunk of job.chunks.values())
    if (chunk.modRevision === null) keys.push(storedChunkKey(state, job, chunk));
  for (const [key, { modRevision }] of job.supersededChunks) if (modRevision === null) keys.push(key);
  return keys;
}

/** Applies the records that were read of a job to its state. */
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

/**
 * Applies the records that were read. Null: the key-value store did not answer, and the read is requested again. The
 * outcome of any other reconciliation than the pending one is ignored: it may be of an earlier leadership.
 */
export function settleReconciliation(
  state: CoreState,
  id: number,
  found: ReconciledRecords | null,
  now: Now,
  effects: Effect[],
): void {
  const pending = state.pendingReconciliation;
  if (pending?.id !== id) return;
  const jobs = pending.jobs.map((jobId) => state.jobs.get(jobId)).filter((job) => job !== undefined);
  if (found === null) {
    const chunks = jobs.flatMap((job) => unknownKeysOf(state, job));
    effects.push({ kind: 'reconcile', id, jobs: pending.jobs, chunks });
    return;
  }
  state.pendingReconciliation = null;
  state.commitNotBefore = now.monotonicMs;
  for (const job of jobs) reconcileJob(state, job, found, now);
}
