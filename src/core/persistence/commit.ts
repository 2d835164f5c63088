/**
 * Committing: the next transaction, and what follows from its outcome. Only one is ever under way, and each chunk
 * is written on condition of its own revision, so a transaction that is applied late can never undo a later one.
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
 * Mutations that a transaction has room for at least: an ending takes three. Fewer at a time would only cost
 * preconditions.
 */
const MIN_MUTATIONS = 3;

/** How many mutations may be written now, by the layout's write rate; 0: it is better to wait. */
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

/** Drafts the writes of the dirty jobs in their order; jobs of which nothing is left to be written become clean. */
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

/** The next transaction, or null if none is due. It is under way until `settleCommit` is called with its id. */
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
  const id = state.nextCommit;
  state.nextCommit += 1;
  state.commit = { id, chunks, completing, cancelling, superseded };
  return { kind: 'commit', id, transaction: { preconditions, mutations } };
}

function applyCommitted(state: CoreState, commit: CommitInFlight, revision: number, now: Now): void {
  for (const { job, chunk, version, isRemoved } of commit.chunks) {
    chunk.committedVersion = version;
    chunk.dirtySince = null;
    // By what was written, not by how the job stands now: it may have ended in the meantime, and a record
    // taken for removed would never be.
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
 * The key-value store will never take the transaction: its limits are smaller than is known here. Transactions are
 * made smaller until what does not fit stands alone; that is left for a while, so that it neither holds up
 * anything else nor is sent for ever.
 */
function shrinkTransactions(state: CoreState, commit: CommitInFlight, now: Now, effects: Effect[]): void {
  const { layout, writesJobsSingly } = state;
  const { tickMs, workerLeaseMs } = state.config.timing;
  log(effects, 'transaction rejected as too large', {
    most: layout.maxMutations,
    lone: writesJobsSingly,
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
 * Takes in the outcome of the commit under way; of any other id it is ignored. `deposed`: another controller has
 * raised the term, and this one leads no more.
 */
export function settleCommit(
  state: CoreState,
  id: number,
  outcome: CommitOutcome,
  now: Now,
  effects: Effect[],
): 'kept' | 'deposed' {
  const { commit } = state;
  if (commit === null || commit.id !== id) return 'kept';
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
      if (outcome.keys.includes(TERM_KEY)) return 'deposed';
      beginReconciliation(state, commit, effects);
      break;
    case 'unknown':
      beginReconciliation(state, commit, effects);
      break;
  }
  return 'kept';
}
