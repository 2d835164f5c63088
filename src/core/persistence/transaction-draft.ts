/**
 * Drafts a transaction: which records of a job are written and removed, and on which preconditions.
 *
 * The write of a record is conditional on the record's revision, and the whole transaction on the leader's term. So no
 * write of a superseded leader is applied, and no write is applied out of order.
 */
import { isComplete } from '../jobs/jobs.js';
import { isDone } from '../model.js';
import type { SupersededChunk, CommitInFlight, Chunk, JobState, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { FinalStage, Mutation, Precondition } from '../types.js';
import { buildChunkRecord, chunkIndexOf, chunkRange, hasClaimIn, storedChunkKey } from './chunks.js';
import { releaseClaim } from './claims.js';
import { hasUncommittedStart } from './dirty-jobs.js';
import { encodeChunk, encodeCompactChunk, endedKey, jobKey, TERM_KEY } from './records.js';

/** Maximum size of the records in a transaction: with preconditions and envelope, a request may have 64 KiB. */
const MAX_RECORD_BYTES = 48 * 1024;

/** Bytes that a record takes in a transaction besides its value: its key, twice, and its precondition. */
const RECORD_OVERHEAD_BYTES = 200;

/** Mutations that end a job: removing its record and writing the record of its end. */
const MUTATIONS_OF_ENDING = 2;

/** A transaction that is being drafted. */
export interface TransactionDraft {
  readonly maxMutations: number;
  readonly preconditions: Precondition[];
  readonly mutations: Mutation[];
  /** Chunks that are written or removed. */
  readonly chunks: CommitInFlight['chunks'][number][];
  /** Jobs that end as done. */
  readonly completing: JobState[];
  /** Jobs that end as withdrawn. */
  readonly cancelling: JobState[];
  /** Superseded chunks that are removed. */
  readonly superseded: CommitInFlight['superseded'][number][];
  /** Bytes of records that may still be added. */
  remainingBytes: number;
}

/** Creates an empty draft, conditional on the record of the leader's term still having this revision. */
export function createDraft(maxMutations: number, termRevision: number): TransactionDraft {
  return {
    maxMutations,
    preconditions: [{ key: TERM_KEY, modRevision: termRevision }],
    mutations: [],
    chunks: [],
    completing: [],
    cancelling: [],
    superseded: [],
    remainingBytes: MAX_RECORD_BYTES,
  };
}

/** Whether a draft contains the maximum number of mutations. */
const hasMaxMutations = ({ mutations, maxMutations }: TransactionDraft): boolean =>
  mutations.length >= maxMutations;

/** Whether no further record can be added to a draft. */
export const isFull = (draft: TransactionDraft): boolean =>
  hasMaxMutations(draft) || draft.remainingBytes <= 0;

/** Adds the due writes of a job to a draft, as far as they fit into it. */
export function draftJob(state: CoreState, draft: TransactionDraft, job: JobState, now: Now): void {
  if (job.finalStage !== null) draftCleanup(state, draft, job);
  else if (isComplete(job) || state.cancelPending.has(job)) draftEnding(state, draft, job, now);
  else draftChunks(state, draft, job, now);
}

function removeRecord(draft: TransactionDraft, key: string, modRevision: number): void {
  draft.preconditions.push({ key, modRevision });
  draft.mutations.push({ remove: key });
}

function putChunk(
  state: CoreState,
  draft: TransactionDraft,
  job: JobState,
  chunk: Chunk,
  modRevision: number,
  value: unknown,
): void {
  const key = storedChunkKey(state, job, chunk);
  draft.preconditions.push({ key, modRevision });
  draft.mutations.push({ put: key, value });
  draft.chunks.push({ job, chunk, version: chunk.version, isRemoved: false });
}

function removeChunk(
  state: CoreState,
  draft: TransactionDraft,
  job: JobState,
  chunk: Chunk,
  modRevision: number,
): void {
  removeRecord(draft, storedChunkKey(state, job, chunk), modRevision);
  draft.chunks.push({ job, chunk, version: chunk.version, isRemoved: true });
}

function removeSuperseded(draft: TransactionDraft, job: JobState, key: string, modRevision: number): void {
  removeRecord(draft, key, modRevision);
  draft.superseded.push({ job, key });
}

/** Removes those records of an ended job of which no task can be on a machine. */
function draftCleanup(state: CoreState, draft: TransactionDraft, job: JobState): void {
  for (const [key, { modRevision, first, end }] of job.supersededChunks) {
    if (hasMaxMutations(draft)) return;
    if (modRevision !== null && !hasClaimIn(job, [first, end]))
      removeSuperseded(draft, job, key, modRevision);
  }
  // Chunks are kept until no superseded record of the job is left: without the chunk, a superseded record of the
  // same tasks would become valid again.
  const removed = draft.superseded.filter((superseded) => superseded.job === job).length;
  const hasSuperseded = job.supersededChunks.size > removed;
  for (const chunk of job.chunks.values()) {
    if (hasMaxMutations(draft) || hasSuperseded) return;
    if (chunk.modRevision === null || hasClaimIn(job, chunkRange(state, job, chunk))) continue;
    if (chunk.modRevision === 0) job.chunks.delete(chunk.index);
    else removeChunk(state, draft, job, chunk, chunk.modRevision);
  }
  if (job.chunks.size === 0 && job.supersededChunks.size === 0 && job.claims.size === 0)
    state.jobs.delete(job.spec.id);
}

/** Replaces a live job's record by that of its end, and removes its only chunk record if no task is on a machine. */
function draftEnding(state: CoreState, draft: TransactionDraft, job: JobState, now: Now): void {
  if (draft.mutations.length + MUTATIONS_OF_ENDING > draft.maxMutations) return;
  const { id, tasks } = job.spec;
  const stage: FinalStage = isComplete(job) ? 'done' : 'withdrawn';
  removeRecord(draft, jobKey(id), job.modRevision);
  const at = Math.round(now.epochMs);
  draft.mutations.push({ put: endedKey(id), value: { stage, tasks, done: job.doneCount, at } });
  (stage === 'done' ? draft.completing : draft.cancelling).push(job);
  if (job.claims.size === 0 && !hasMaxMutations(draft)) removeSoleRecord(state, draft, job);
}

/** Removes the chunk record of a job that has exactly one, in the current or an earlier layout. */
function removeSoleRecord(state: CoreState, draft: TransactionDraft, job: JobState): void {
  const stored = [...job.chunks.values()].filter(({ modRevision }) => modRevision !== 0);
  if (stored.length + job.supersededChunks.size !== 1) return;
  const [chunk] = stored;
  if (chunk !== undefined && chunk.modRevision !== null)
    removeChunk(state, draft, job, chunk, chunk.modRevision);
  for (const [key, { modRevision }] of job.supersededChunks)
    if (modRevision !== null) removeSuperseded(draft, job, key, modRevision);
}

/**
 * Whether a chunk must be written now. Exits may wait for `exitBatchDelayMs` so that others of the
 * job can share their write: until then the worker repeats them in its heartbeats, and the end of
 * the job itself does not wait for them.
 */
function isDue(state: CoreState, chunk: Chunk, now: Now): boolean {
  if (chunk.modRevision === null || chunk.version === chunk.committedVersion) return false;
  if (chunk.blockedUntil > now.monotonicMs) return false;
  if (hasUncommittedStart(chunk)) return true;
  return now.monotonicMs - (chunk.dirtySince ?? now.monotonicMs) >= state.config.timing.exitBatchDelayMs;
}

/** Writes the chunks of a live job that are due, and removes the superseded records that they replace. */
function draftChunks(state: CoreState, draft: TransactionDraft, job: JobState, now: Now): void {
  let hasJobPrecondition = false;
  for (const chunk of job.chunks.values()) {
    // Removals of superseded records wait for a transaction that all due chunks fit into.
    if (isFull(draft)) return;
    const { modRevision } = chunk;
    if (modRevision === null || !isDue(state, chunk, now)) continue;
    const record = buildChunkRecord(state, job, chunk);
    const value = state.layout.keyWidth === null ? encodeChunk(record) : encodeCompactChunk(record);
    const bytes = Buffer.byteLength(JSON.stringify(value));
    if (bytes > state.layout.maxValueBytes) {
      withdrawUncommittedStarts(state, job, chunk, now);
      continue;
    }
    // A record that does not fit beside the others waits for the next transaction.
    if (draft.mutations.length > 0 && bytes + RECORD_OVERHEAD_BYTES > draft.remainingBytes) return;
    draft.remainingBytes -= bytes + RECORD_OVERHEAD_BYTES;
    // The precondition on the job's own revision: once a cancellation has been confirmed to the user,
    // no start of the job can be committed any more.
    if (!hasJobPrecondition)
      draft.preconditions.push({ key: jobKey(job.spec.id), modRevision: job.modRevision });
    hasJobPrecondition = true;
    putChunk(state, draft, job, chunk, modRevision, value);
  }
  draftSupersededRemovals(state, draft, job);
}

/**
 * Handles a chunk that is too large to be written, which only unusually long names can cause. The
 * starts of its uncommitted claims have not been sent, so these claims are released. The job's tasks are
 * not placed again for a worker lease, during which other tasks of the job may end.
 */
function withdrawUncommittedStarts(state: CoreState, job: JobState, chunk: Chunk, now: Now): void {
  const [first, end] = chunkRange(state, job, chunk);
  for (const claim of [...job.claims.values()]) {
    const { task, startSent, version } = claim;
    if (task >= first && task < end && !startSent && version > chunk.committedVersion)
      releaseClaim(state, claim, false);
  }
  job.retryAt = now.monotonicMs + state.config.timing.workerLeaseMs;
  chunk.claimedVersion = 0;
  chunk.blockedUntil = now.monotonicMs + state.config.timing.tickMs;
}

/** Whether the committed chunks of the current layout hold all that is known of a superseded chunk's tasks. */
function isReplaced(state: CoreState, job: JobState, { first, end }: SupersededChunk): boolean {
  for (let task = first; task < end; task += 1) {
    const modRevision = job.chunks.get(chunkIndexOf(state, task))?.modRevision;
    if (modRevision !== undefined && modRevision !== null && modRevision > 0) continue;
    if (job.attempts.has(task) || isDone(job, task)) return false;
  }
  return true;
}

/** Removes the superseded records that current chunk records have replaced. */
function draftSupersededRemovals(state: CoreState, draft: TransactionDraft, job: JobState): void {
  for (const [key, superseded] of job.supersededChunks) {
    if (hasMaxMutations(draft)) return;
    if (superseded.modRevision !== null && isReplaced(state, job, superseded))
      removeSuperseded(draft, job, key, superseded.modRevision);
  }
}

/** Whether a superseded record needs no write until its job changes. */
function isSupersededSettled(state: CoreState, job: JobState, superseded: SupersededChunk): boolean {
  if (superseded.modRevision === null) return false;
  return job.finalStage === null
    ? !isReplaced(state, job, superseded)
    : hasClaimIn(job, [superseded.first, superseded.end]);
}

/** Whether a chunk needs no write until its job changes. */
function isChunkSettled(state: CoreState, job: JobState, chunk: Chunk): boolean {
  if (chunk.modRevision === null) return false;
  if (job.finalStage === null) return chunk.version === chunk.committedVersion;
  // A claim's release marks the job dirty again.
  return job.supersededChunks.size > 0 || hasClaimIn(job, chunkRange(state, job, chunk));
}

/** Whether a job needs no write until it changes. */
export function isClean(state: CoreState, job: JobState): boolean {
  if (isComplete(job) || state.cancelPending.has(job)) return false;
  for (const superseded of job.supersededChunks.values())
    if (!isSupersededSettled(state, job, superseded)) return false;
  for (const chunk of job.chunks.values()) if (!isChunkSettled(state, job, chunk)) return false;
  return true;
}
