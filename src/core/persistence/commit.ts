/**
 * Commits: drafts the next transaction and applies its outcome to the state. At most one transaction is in flight,
 * and each chunk is written on condition of its own revision, so a transaction that is applied late can never undo
 * a later one.
 */
import type { CommitOutcome, Effect } from '../effects.js';
import { finalOutcomeNow } from '../jobs/dependencies.js';
import { log } from '../log.js';
import type { CommitInFlight, Leadership, Now } from '../model.js';
import type { CoreState } from '../state.js';
import { hasDirtyJobs, jobsToWrite, markClean, markDirty } from './dirty-jobs.js';
import { endJob } from './job-lifecycle.js';
import { adoptLayout } from './layout-migration.js';
import { beginReconciliation } from './reconciliation.js';
import { TERM_KEY } from './records.js';
import { createDraft, draftJob, isClean, isFull, type TransactionDraft } from './transaction-draft.js';

/**
 * Smallest limit on the mutations of a transaction: ending a job takes three. Smaller transactions would only add the
 * cost of their preconditions.
 */
const MIN_MUTATIONS = 3;

/** Number of mutations that the layout's write rate allows now; 0: too few for a transaction, so it has to wait. */
function availableMutations(state: CoreState, now: Now): number {
  const { writeBudget, layout } = state;
  const elapsedS = Math.max(0, now.monotonicMs - writeBudget.at) / 1000;
  writeBudget.level = Math.min(layout.writeBurst, writeBudget.level + elapsedS * layout.writesPerSecond);
  writeBudget.at = now.monotonicMs;
  const available = Math.min(layout.maxMutations, Math.floor(writeBudget.level));
  return available >= Math.min(MIN_MUTATIONS, layout.maxMutations) ? available : 0;
}

function canCommit(state: CoreState, now: Now): boolean {
  return (
    state.commit === null && state.pendingReconciliation === null && now.monotonicMs >= state.commitNotBefore
  );
}

/** Drafts the writes of the dirty jobs in their order; jobs with nothing left to write become clean. */
function draftTransaction(
  state: CoreState,
  leadership: Leadership,
  maxMutations: number,
  now: Now,
): TransactionDraft {
  const draft = createDraft(maxMutations, leadership.modRevision);
  for (const job of jobsToWrite(state)) {
    if (isFull(draft)) break;
    draftJob(state, draft, job, now);
    if (isClean(state, job)) markClean(state, job);
    if (state.writesJobsSingly && draft.mutations.length > 0) break;
  }
  return draft;
}

/** Returns the next transaction, or null if none is due. It is in flight until `settleCommit` is called with its id. */
export function nextCommit(state: CoreState, now: Now): Effect | null {
  const { leadership } = state;
  if (leadership === null || !canCommit(state, now)) return null;
  if (state.pendingLayout !== null) {
    adoptLayout(state, state.pendingLayout);
    state.pendingLayout = null;
  }
  if (!hasDirtyJobs(state)) return null;
  const maxMutations = availableMutations(state, now);
  if (maxMutations === 0) return null;
  const draft = draftTransaction(state, leadership, maxMutations, now);
  const { preconditions, mutations, chunks, completing, cancelling, superseded } = draft;
  if (mutations.length === 0) return null;
  state.writeBudget.level -= mutations.length;
  const id = state.nextCommitId;
  state.nextCommitId += 1;
  state.commit = { id, chunks, completing, cancelling, superseded };
  return { kind: 'commit', id, transaction: { preconditions, mutations } };
}

function applyCommitted(state: CoreState, commit: CommitInFlight, revision: number, now: Now): void {
  for (const { job, chunk, version, isRemoved } of commit.chunks) {
    chunk.committedVersion = version;
    chunk.dirtySince = null;
    // `isRemoved` says what the commit did. The job may have ended since: if a record that was written counted as
    // removed because of that, it would stay in the store forever.
    if (isRemoved) job.chunks.delete(chunk.index);
    else chunk.modRevision = revision;
  }
  for (const { job, key } of commit.superseded) job.supersededChunks.delete(key);
  for (const job of commit.completing) endJob(state, job, 'done', finalOutcomeNow('done', now));
  for (const job of commit.cancelling) endJob(state, job, 'withdrawn', finalOutcomeNow('withdrawn', now));
  for (const { job } of [...commit.chunks, ...commit.superseded])
    if (job.finalStage !== null || job.writeReason !== null) markDirty(state, job);
}

/**
 * Handles a transaction that the key-value store would never accept: its limits are lower than configured. The
 * maximum number of mutations is halved down to `MIN_MUTATIONS`, and then each job is written by itself. Chunks of a
 * job that is rejected by itself are blocked for a worker lease, so that they neither delay other writes nor are sent
 * over and over.
 */
function shrinkTransactions(state: CoreState, commit: CommitInFlight, now: Now, effects: Effect[]): void {
  const { layout, writesJobsSingly } = state;
  const { tickMs, workerLeaseMs } = state.config.timing;
  log(effects, 'transaction rejected as too large', {
    maxMutations: layout.maxMutations,
    singleJob: writesJobsSingly,
  });
  state.commitNotBefore = now.monotonicMs + tickMs;
  if (writesJobsSingly) {
    for (const { chunk } of commit.chunks) chunk.blockedUntil = now.monotonicMs + workerLeaseMs;
  } else if (layout.maxMutations > MIN_MUTATIONS) {
    const maxMutations = Math.max(MIN_MUTATIONS, Math.floor(layout.maxMutations / 2));
    state.layout = { ...layout, maxMutations };
  } else {
    state.writesJobsSingly = true;
  }
}

/**
 * Applies the outcome of the commit in flight; the outcome of any other id is ignored. Returns `superseded` if another
 * controller has raised the term, so that this one is no longer the leader.
 */
export function settleCommit(
  state: CoreState,
  id: number,
  outcome: CommitOutcome,
  now: Now,
  effects: Effect[],
): 'leading' | 'superseded' {
  const { commit } = state;
  if (commit === null || commit.id !== id) return 'leading';
  state.commit = null;
  switch (outcome.kind) {
    case 'applied':
      applyCommitted(state, commit, outcome.revision, now);
      break;
    case 'rejected':
      shrinkTransactions(state, commit, now, effects);
      break;
    case 'refused':
      state.commitNotBefore = now.monotonicMs + state.config.timing.tickMs;
      break;
    case 'failed':
      if (outcome.keys.includes(TERM_KEY)) return 'superseded';
      beginReconciliation(state, commit, effects);
      break;
    case 'unknown':
      beginReconciliation(state, commit, effects);
      break;
  }
  return 'leading';
}
