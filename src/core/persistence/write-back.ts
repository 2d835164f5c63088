/** Jobs and attempts: who may be where, what is done, and what of it is committed. */
import { needAttention } from '../attention.js';
import { chunkKey, encodeChunk, encodeCompactChunk, endedKey, jobKey, TERM_KEY } from './records.js';
import type { CommitOutcome, Effect, LoadedChunk, ReconciledRecords } from '../effects.js';
import { log } from '../log.js';
import { removeClaim, addClaim, isComplete, markDone, updateTaskCounts } from '../jobs/jobs.js';
import {
  finalOutcomeNow,
  finalOutcomeOf,
  registerDependencies,
  unregisterDependencies,
} from '../jobs/dependencies.js';
import {
  isDone,
  isExitDurable,
  type Chunk,
  type CommitInFlight,
  type FinalOutcome,
  type JobState,
  type RecordLayout,
  type SupersededChunk,
  type LiveClaim,
  type Machine,
  type Now,
} from '../model.js';
import type { CoreState } from '../state.js';
import { markClean, markDirty, hasDirtyJobs, hasUncommittedStart, jobsToWrite } from './dirty-jobs.js';
import type { ChunkRecord, Claim, Precondition, FinalStage, JobSpec, Versioned, Mutation } from '../types.js';

export function addJob(state: CoreState, job: Versioned<JobSpec>, over: FinalStage | null = null): JobState {
  const known = state.jobs.get(job.value.id);
  if (known !== undefined) return known;
  const added: JobState = {
    spec: job.value,
    modRevision: job.modRevision,
    finalStage: over,
    pendingDependencies: new Set(),
    readyAt: job.value.submittedAt,
    priority: job.value.priority,
    inheritedDeadline: Infinity,
    waitingCount: 0,
    outstanding: 0,
    runningCount: 0,
    writeReason: null,
    exitsSince: 0,
    lastPlacedAt: -Infinity,
    lastPreemptedAt: -Infinity,
    isQueued: false,
    isCountedInDemand: false,
    doneBits: new Uint8Array(Math.ceil(job.value.tasks / 8)),
    doneCount: 0,
    attempts: new Map(),
    claims: new Map(),
    retryTasks: [],
    nextNewTask: 0,
    chunks: new Map(),
    supersededChunks: new Map(),
    failedAttempts: 0,
    retryAt: 0,
    failedMachines: new Set(),
  };
  state.jobs.set(job.value.id, added);
  if (over !== null) markDirty(state, added);
  else registerDependencies(state, added);
  updateTaskCounts(state, added);
  state.isPlacementDue = true;
  return added;
}

function chunkOf(state: CoreState, job: JobState, task: number): Chunk {
  const index = Math.floor(task / state.layout.tasksPerChunk);
  let chunk = job.chunks.get(index);
  if (chunk === undefined) {
    chunk = {
      index,
      modRevision: 0,
      version: 0,
      committedVersion: 0,
      claimedVersion: 0,
      dirtySince: null,
      blockedUntil: 0,
    };
    job.chunks.set(index, chunk);
  }
  return chunk;
}

function touch(state: CoreState, job: JobState, task: number): Chunk {
  const chunk = chunkOf(state, job, task);
  chunk.version += 1;
  chunk.dirtySince ??= state.monotonicMs;
  markDirty(state, job);
  return chunk;
}

export function isDurable(state: CoreState, claim: LiveClaim): boolean {
  return claim.version <= chunkOf(state, claim.job, claim.task).committedVersion;
}

/** Puts a task on a machine. Nothing is sent before the claim is committed. */
export function claimTask(
  state: CoreState,
  job: JobState,
  task: number,
  machine: Machine,
  now: Now,
  expectedEnd: number,
): void {
  const attempt = (job.attempts.get(task) ?? 0) + 1;
  job.attempts.set(task, attempt);
  const chunk = touch(state, job, task);
  chunk.claimedVersion = chunk.version;
  markDirty(state, job);
  const claim: LiveClaim = {
    job,
    task,
    attempt,
    machine: machine.name,
    agentEpoch: machine.agentEpoch,
    createdAt: now.epochMs,
    version: chunk.version,
    startSent: false,
    stage: null,
    runningSince: null,
    expectedEnd,
    isReserved: state.reservedJobs.includes(job),
    stopRequested: false,
  };
  job.lastPlacedAt = now.monotonicMs;
  addClaim(state, claim, machine);
}

/** Takes a task off a machine. The caller holds the proof that it is gone from there. */
export function releaseClaim(state: CoreState, claim: LiveClaim, done: boolean): Chunk {
  const { job, task } = claim;
  removeClaim(state, claim);
  if (done) {
    markDone(state, job, task);
  } else if (!isDone(job, task)) {
    const at = job.retryTasks.findIndex((other) => other > task);
    job.retryTasks.splice(at < 0 ? job.retryTasks.length : at, 0, task);
  }
  state.isPlacementDue = true;
  return touch(state, job, task);
}

/** Records a completion reported for an attempt the ledger has no claim for. */
export function recordUnclaimedCompletion(state: CoreState, job: JobState, task: number): Chunk {
  markDone(state, job, task);
  return touch(state, job, task);
}

/**
 * A job that ended: its tasks are stopped, and its records go once none can be on a machine.
 * `final` is its committed record, null where that has not been read.
 */
export function endJob(state: CoreState, job: JobState, stage: FinalStage, final: FinalOutcome | null): void {
  job.finalStage = stage;
  for (const { machine } of job.claims.values()) needAttention(state, machine);
  updateTaskCounts(state, job);
  unregisterDependencies(state, job, final);
  markDirty(state, job);
  state.isPlacementDue = true;
}

export function chunkRange(state: CoreState, job: JobState, chunk: Chunk): [number, number] {
  const first = chunk.index * state.layout.tasksPerChunk;
  return [first, Math.min(first + state.layout.tasksPerChunk, job.spec.tasks)];
}

const keyOf = (state: CoreState, job: JobState, { index }: Chunk): string =>
  chunkKey(job.spec.id, { index, width: state.layout.keyWidth });

function claimsIn(job: JobState, [first, end]: readonly [number, number]): number {
  let count = 0;
  for (const task of job.claims.keys()) if (task >= first && task < end) count += 1;
  return count;
}

function chunkRecord(state: CoreState, job: JobState, chunk: Chunk): ChunkRecord {
  const [first, end] = chunkRange(state, job, chunk);
  const claims: Record<string, Claim> = {};
  const attempts: Record<string, number> = {};
  for (let task = first; task < end; task += 1) {
    const claim = job.claims.get(task);
    if (claim !== undefined) {
      const { attempt, machine, agentEpoch, createdAt } = claim;
      claims[task] = { attempt, machine, agentEpoch, createdAt };
    } else if (!isDone(job, task)) {
      const attempt = job.attempts.get(task);
      if (attempt !== undefined) attempts[task] = attempt;
    }
  }
  const { team, cpus, gpus, memoryGb } = job.spec;
  const done = Buffer.from(job.doneBits.subarray(first >> 3, (end + 7) >> 3)).toString('base64');
  return { team, cpus, gpus, memoryGb, done, attempts, claims };
}

/** A stand-in for the description of a job that has ended, from one of its chunks. */
function endedSpec(id: string, tasks: number, record: ChunkRecord): JobSpec {
  const { team, cpus, gpus, memoryGb } = record;
  return {
    id,
    jobClass: '',
    team,
    form: 'array',
    priority: 3,
    tasks,
    cpus,
    gpus,
    memoryGb,
    image: '',
    imageGb: 0,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    estimateS: 0,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    submittedAt: 0,
  };
}

/**
 * Loads what the leaders before have committed. Records of different widths may hold the
 * same task: a narrower one was written later, so it alone counts for its tasks.
 */
export function loadChunks(
  state: CoreState,
  loaded: readonly LoadedChunk[],
  now: Now,
  machineOf: (name: string) => Machine,
): void {
  const widthOf = ({ name }: LoadedChunk): number => name.width ?? state.legacyChunkTasks;
  const narrowFirst = [...loaded].sort((a, b) => widthOf(a) - widthOf(b));
  // A chunk whose job is gone belongs to one that ended with tasks still out.
  const ended = new Map<string, { end: number; record: ChunkRecord }>();
  for (const one of narrowFirst) {
    if (state.jobs.has(one.job)) continue;
    const end = Math.max((one.name.index + 1) * widthOf(one), ended.get(one.job)?.end ?? 0);
    ended.set(one.job, { end, record: one.record.value });
  }
  for (const [id, { end, record }] of ended)
    addJob(state, { value: endedSpec(id, end, record), modRevision: 0 }, 'withdrawn');
  const covered = new Map<JobState, [number, number][]>();
  for (const one of narrowFirst) {
    const job = state.jobs.get(one.job);
    if (job === undefined) continue;
    const first = one.name.index * widthOf(one);
    const end = Math.min(first + widthOf(one), job.spec.tasks);
    const before = covered.get(job) ?? [];
    const isNews = (task: number): boolean =>
      task >= first && task < end && !before.some(([from, to]) => task >= from && task < to);
    const { modRevision, value } = one.record;
    if (one.name.width === state.layout.keyWidth) {
      const { index } = one.name;
      job.chunks.set(index, {
        index,
        modRevision,
        version: 0,
        committedVersion: 0,
        claimedVersion: 0,
        dirtySince: null,
        blockedUntil: 0,
      });
    } else job.supersededChunks.set(chunkKey(one.job, one.name), { modRevision, first, end });
    loadRecord(state, job, value, first, isNews, now, machineOf);
    covered.set(job, [...before, [first, end]]);
  }
}

function loadRecord(
  state: CoreState,
  job: JobState,
  record: ChunkRecord,
  first: number,
  isNews: (task: number) => boolean,
  now: Now,
  machineOf: (name: string) => Machine,
): void {
  const bits = Buffer.from(record.done, 'base64');
  for (let at = 0; at < 8 * bits.length; at += 1) {
    if (((bits[at >> 3] ?? 0) & (1 << (at & 7))) !== 0 && isNews(first + at))
      markDone(state, job, first + at);
  }
  for (const [task, attempt] of Object.entries(record.attempts))
    if (isNews(Number(task))) job.attempts.set(Number(task), attempt);
  for (const [name, kept] of Object.entries(record.claims)) {
    const task = Number(name);
    if (!isNews(task)) continue;
    job.attempts.set(task, kept.attempt);
    const age = Math.max(0, now.epochMs - kept.createdAt);
    const claim: LiveClaim = {
      job,
      task,
      ...kept,
      version: 0,
      // The leader before may have sent it.
      startSent: true,
      stage: null,
      runningSince: null,
      expectedEnd: now.monotonicMs - age + state.config.policy.expectedRunMs(job.spec),
      isReserved: false,
      stopRequested: false,
    };
    job.lastPlacedAt = now.monotonicMs;
    addClaim(state, claim, machineOf(kept.machine));
  }
}

/**
 * Goes over to another layout, while no write is under way. Nothing has to be written for
 * it: what is committed stands in the records of before, and each of them is replaced as
 * its tasks change.
 */
export function adoptLayout(state: CoreState, layout: RecordLayout): void {
  const before = state.layout;
  if (before.tasksPerChunk === layout.tasksPerChunk && before.keyWidth === layout.keyWidth) {
    state.layout = layout;
    return;
  }
  for (const job of state.jobs.values()) {
    const old = [...job.chunks.values()];
    const ranges = new Map(old.map((chunk) => [chunk, chunkRange(state, job, chunk)] as const));
    for (const chunk of old) {
      const [first, end] = ranges.get(chunk) ?? [0, 0];
      if (chunk.modRevision !== 0)
        job.supersededChunks.set(keyOf(state, job, chunk), { modRevision: chunk.modRevision, first, end });
    }
    job.chunks.clear();
    state.layout = layout;
    for (const chunk of old) {
      const [first, end] = ranges.get(chunk) ?? [0, 0];
      const dirty = chunk.version !== chunk.committedVersion;
      for (let task = first; dirty && task < end; task += layout.tasksPerChunk) touch(state, job, task);
    }
    for (const claim of job.claims.values()) {
      const chunk = old.find((one) => one.index === Math.floor(claim.task / before.tasksPerChunk));
      if (chunk === undefined || claim.version <= chunk.committedVersion) claim.version = 0;
      else {
        const into = touch(state, job, claim.task);
        into.claimedVersion = into.version;
        claim.version = into.version;
        markDirty(state, job);
      }
    }
    if (job.supersededChunks.size > 0) markDirty(state, job);
    state.layout = before;
  }
  for (const machine of state.machines.values()) {
    for (const [name, exit] of machine.exits) {
      if (exit.job === null || isExitDurable(exit)) {
        machine.exits.set(name, { job: null, chunk: null, version: 0 });
        continue;
      }
      const task = Number(/\/(\d+)#\d+$/.exec(name)?.[1] ?? 0);
      const into = exit.job.chunks.get(Math.floor(task / layout.tasksPerChunk)) ?? null;
      machine.exits.set(name, { job: exit.job, chunk: into, version: into?.version ?? 0 });
    }
  }
  state.layout = layout;
}

/**
 * Whether a chunk is to be written now. Exits can wait a little, for others of the job to
 * share their write: until then the worker keeps them in its reports, and the end of the
 * job itself does not wait for them.
 */
function isDue(state: CoreState, chunk: Chunk, now: Now): boolean {
  if (chunk.modRevision === null || chunk.version === chunk.committedVersion) return false;
  if (chunk.blockedUntil > now.monotonicMs) return false;
  if (hasUncommittedStart(chunk)) return true;
  return now.monotonicMs - (chunk.dirtySince ?? now.monotonicMs) >= state.config.timing.exitBatchDelayMs;
}

interface Draft {
  readonly when: Precondition[];
  readonly apply: Mutation[];
  readonly chunks: { job: JobState; chunk: Chunk; version: number; removed: boolean }[];
  readonly ending: JobState[];
  readonly withdrawing: JobState[];
  readonly older: { job: JobState; key: string }[];
  /** Bytes that may still be added. */
  bytes: number;
}

function remove(draft: Draft, key: string, modRevision: number): void {
  draft.when.push({ key, modRevision });
  draft.apply.push({ remove: key });
}

function removeChunk(state: CoreState, draft: Draft, job: JobState, chunk: Chunk, modRevision: number): void {
  remove(draft, keyOf(state, job, chunk), modRevision);
  draft.chunks.push({ job, chunk, version: chunk.version, removed: true });
}

function removeOlder(draft: Draft, job: JobState, key: string, modRevision: number): void {
  remove(draft, key, modRevision);
  draft.older.push({ job, key });
}

/** Removes the chunks of a job that ended, those of which no task can be on a machine. */
function draftCleaning(state: CoreState, draft: Draft, job: JobState, most: number): void {
  for (const [key, { modRevision, first, end }] of job.supersededChunks) {
    if (draft.apply.length >= most) return;
    if (modRevision !== null && claimsIn(job, [first, end]) === 0) removeOlder(draft, job, key, modRevision);
  }
  // What outranks an older record stays as long as that does.
  const outranks = job.supersededChunks.size > draft.older.filter((older) => older.job === job).length;
  for (const chunk of job.chunks.values()) {
    if (draft.apply.length >= most || outranks) return;
    if (chunk.modRevision === null || claimsIn(job, chunkRange(state, job, chunk)) > 0) continue;
    if (chunk.modRevision === 0) job.chunks.delete(chunk.index);
    else removeChunk(state, draft, job, chunk, chunk.modRevision);
  }
  if (job.chunks.size === 0 && job.supersededChunks.size === 0 && job.claims.size === 0)
    state.jobs.delete(job.spec.id);
}

/** Moves a job from the live to the ended; with its run record if there is just one. */
function draftEnding(state: CoreState, draft: Draft, job: JobState, most: number, now: Now): void {
  if (draft.apply.length + 2 > most) return;
  const { id, tasks } = job.spec;
  const stage: FinalStage = isComplete(job) ? 'done' : 'withdrawn';
  remove(draft, jobKey(id), job.modRevision);
  const at = Math.round(now.epochMs);
  draft.apply.push({ put: endedKey(id), value: { stage, tasks, done: job.doneCount, at } });
  (stage === 'done' ? draft.ending : draft.withdrawing).push(job);
  if (job.claims.size > 0 || draft.apply.length >= most) return;
  const kept = [...job.chunks.values()].filter(({ modRevision }) => modRevision !== 0);
  const [only] = kept;
  const [older] = job.supersededChunks;
  if (kept.length === 1 && job.supersededChunks.size === 0 && only !== undefined && only.modRevision !== null)
    removeChunk(state, draft, job, only, only.modRevision);
  else if (
    kept.length === 0 &&
    job.supersededChunks.size === 1 &&
    older !== undefined &&
    older[1].modRevision !== null
  )
    removeOlder(draft, job, older[0], older[1].modRevision);
}

function draftChunks(state: CoreState, draft: Draft, job: JobState, most: number, now: Now): void {
  const { id } = job.spec;
  const small = state.layout.keyWidth !== null;
  let guarded = false;
  for (const chunk of job.chunks.values()) {
    if (draft.apply.length >= most || draft.bytes <= 0) return;
    if (chunk.modRevision === null || !isDue(state, chunk, now)) continue;
    const record = chunkRecord(state, job, chunk);
    const value = small ? encodeCompactChunk(record) : encodeChunk(record);
    const bytes = Buffer.byteLength(JSON.stringify(value));
    if (bytes > state.layout.maxValueBytes) {
      shed(state, job, chunk, now);
      continue;
    }
    draft.bytes -= bytes + 200;
    // The job's own revision: once its user has been told that it is cancelled,
    // no start of it can be committed any more.
    if (!guarded) draft.when.push({ key: jobKey(id), modRevision: job.modRevision });
    guarded = true;
    draft.when.push({ key: keyOf(state, job, chunk), modRevision: chunk.modRevision });
    draft.apply.push({ put: keyOf(state, job, chunk), value });
    draft.chunks.push({ job, chunk, version: chunk.version, removed: false });
  }
  draftReplacing(state, draft, job, most);
}

/**
 * A chunk too large to be written, as only names of unusual length make it: what of its
 * claims was not committed was not sent either, and waits for others of the job to end.
 */
function shed(state: CoreState, job: JobState, chunk: Chunk, now: Now): void {
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

/** Whether today's chunks, as committed, hold all that is known of some tasks. */
function areHeld(state: CoreState, job: JobState, { first, end }: SupersededChunk): boolean {
  for (let task = first; task < end; task += 1) {
    const modRevision = job.chunks.get(Math.floor(task / state.layout.tasksPerChunk))?.modRevision;
    if (modRevision !== undefined && modRevision !== null && modRevision > 0) continue;
    if (job.attempts.has(task) || isDone(job, task)) return false;
  }
  return true;
}

/** Removes records of another width once nothing is lost with them. */
function draftReplacing(state: CoreState, draft: Draft, job: JobState, most: number): void {
  for (const [key, older] of job.supersededChunks) {
    if (draft.apply.length >= most) return;
    if (older.modRevision !== null && areHeld(state, job, older))
      removeOlder(draft, job, key, older.modRevision);
  }
}

/** Whether anything of a job is left to be written, now or later. */
function isSaved(state: CoreState, job: JobState): boolean {
  if (isComplete(job) || state.cancelPending.has(job)) return false;
  for (const older of job.supersededChunks.values()) {
    if (older.modRevision === null) return false;
    const due =
      job.finalStage === null ? areHeld(state, job, older) : claimsIn(job, [older.first, older.end]) === 0;
    if (due) return false;
  }
  for (const chunk of job.chunks.values()) {
    if (chunk.modRevision === null) return false;
    // What still holds a claim is looked at again when that is released.
    const saved =
      job.finalStage === null
        ? chunk.version === chunk.committedVersion
        : claimsIn(job, chunkRange(state, job, chunk)) > 0 || job.supersededChunks.size > 0;
    if (!saved) return false;
  }
  return true;
}

/** An ending takes three changes; fewer at a time would only cost conditions. */
const LEAST_CHANGES = 3;

/** How many changes may be written now. */
function allowance(state: CoreState, now: Now): number {
  const { writeBudget, layout } = state;
  const since = Math.max(0, now.monotonicMs - writeBudget.at) / 1000;
  writeBudget.level = Math.min(layout.writeBurst, writeBudget.level + since * layout.writesPerSecond);
  writeBudget.at = now.monotonicMs;
  const most = Math.min(layout.maxMutations, Math.floor(writeBudget.level));
  return most >= Math.min(LEAST_CHANGES, layout.maxMutations) ? most : 0;
}

/**
 * The next transaction, if one is due. Only one is ever under way, and each chunk is
 * written on condition of its own revision, so a transaction that is applied late can
 * never undo a later one.
 */
export function nextCommit(state: CoreState, now: Now): Effect | null {
  const lead = state.leadership;
  if (
    lead === null ||
    state.commit !== null ||
    state.pendingReconciliation !== null ||
    now.monotonicMs < state.commitNotBefore
  ) {
    return null;
  }
  if (state.pendingLayout !== null) {
    adoptLayout(state, state.pendingLayout);
    state.pendingLayout = null;
  }
  if (!hasDirtyJobs(state)) return null;
  const most = allowance(state, now);
  if (most === 0) return null;
  const draft: Draft = {
    when: [{ key: TERM_KEY, modRevision: lead.modRevision }],
    apply: [],
    chunks: [],
    ending: [],
    withdrawing: [],
    older: [],
    // 64 KiB a transaction, with room for the conditions and the envelope.
    bytes: 48 * 1024,
  };
  for (const job of jobsToWrite(state)) {
    if (draft.apply.length >= most || draft.bytes <= 0) break;
    if (job.finalStage !== null) draftCleaning(state, draft, job, most);
    else if (isComplete(job) || state.cancelPending.has(job)) draftEnding(state, draft, job, most, now);
    else draftChunks(state, draft, job, most, now);
    if (isSaved(state, job)) markClean(state, job);
    if (state.writesJobsSingly && draft.apply.length > 0) break;
  }
  const { when, apply, chunks, ending, withdrawing, older } = draft;
  if (apply.length === 0) return null;
  state.writeBudget.level -= apply.length;
  const commit: CommitInFlight = {
    id: state.nextCommit++,
    chunks,
    completing: ending,
    cancelling: withdrawing,
    superseded: older,
  };
  state.commit = commit;
  return { kind: 'commit', id: commit.id, transaction: { preconditions: when, mutations: apply } };
}

/**
 * The state service will not take it, ever: its limits are smaller than is known here. The
 * transaction is split until what does not fit stands alone; that is left for a while, so
 * that it neither holds up anything else nor is sent for ever.
 */
function reject(state: CoreState, commit: CommitInFlight, now: Now, effects: Effect[]): void {
  const { layout, writesJobsSingly } = state;
  log(effects, 'write too large for the state service', {
    most: layout.maxMutations,
    lone: writesJobsSingly,
  });
  state.commitNotBefore = now.monotonicMs + state.config.timing.tickMs;
  if (!writesJobsSingly && layout.maxMutations > LEAST_CHANGES) {
    state.layout = { ...layout, maxMutations: Math.max(LEAST_CHANGES, Math.floor(layout.maxMutations / 2)) };
  } else if (!writesJobsSingly) {
    state.writesJobsSingly = true;
  } else {
    for (const { chunk } of commit.chunks)
      chunk.blockedUntil = now.monotonicMs + state.config.timing.workerLeaseMs;
  }
}

export function settleCommit(
  state: CoreState,
  id: number,
  outcome: CommitOutcome,
  now: Now,
  effects: Effect[],
): 'kept' | 'deposed' {
  const commit = state.commit;
  if (commit === null || commit.id !== id) return 'kept';
  state.commit = null;
  if (outcome.kind === 'applied') {
    for (const { job, chunk, version, removed } of commit.chunks) {
      chunk.committedVersion = version;
      chunk.dirtySince = null;
      // A job may end while a write of its chunk is under way: taken for removed, the record stayed for ever.
      if (removed) job.chunks.delete(chunk.index);
      else chunk.modRevision = outcome.revision;
    }
    for (const { job, key } of commit.superseded) job.supersededChunks.delete(key);
    for (const job of commit.completing) endJob(state, job, 'done', finalOutcomeNow('done', now));
    for (const job of commit.cancelling) endJob(state, job, 'withdrawn', finalOutcomeNow('withdrawn', now));
    for (const { job } of [...commit.chunks, ...commit.superseded])
      if (job.finalStage !== null || job.writeReason !== null) markDirty(state, job);
    return 'kept';
  }
  if (outcome.kind === 'failed' && outcome.keys.includes(TERM_KEY)) return 'deposed';
  if (outcome.kind === 'rejected') {
    reject(state, commit, now, effects);
    return 'kept';
  }
  if (outcome.kind === 'refused') {
    state.commitNotBefore = now.monotonicMs + state.config.timing.tickMs;
    return 'kept';
  }
  // Unknown, or a condition failed: read again what it touched before going on. A
  // transaction that got no answer may still be applied; with the fresh stamps, at
  // most one of it and its successor is.
  const jobs = new Set<string>([...commit.completing, ...commit.cancelling].map((job) => job.spec.id));
  const keys: string[] = [];
  for (const { job, chunk } of commit.chunks) {
    chunk.modRevision = null;
    jobs.add(job.spec.id);
    keys.push(keyOf(state, job, chunk));
  }
  for (const { job, key } of commit.superseded) {
    const older = job.supersededChunks.get(key);
    if (older !== undefined) older.modRevision = null;
    jobs.add(job.spec.id);
    keys.push(key);
  }
  state.pendingReconciliation = [...jobs];
  effects.push({ kind: 'reconcile', jobs: [...jobs], chunks: keys });
  return 'kept';
}

export function settleReconciliation(
  state: CoreState,
  found: ReconciledRecords | null,
  now: Now,
  effects: Effect[],
): void {
  const waiting = state.pendingReconciliation;
  if (waiting === null) return;
  state.pendingReconciliation = null;
  if (found === null) {
    // The state service did not answer: ask again a tick later, commit nothing till then.
    state.pendingReconciliation = waiting;
    const keys: string[] = [];
    for (const id of waiting) {
      const job = state.jobs.get(id);
      if (job === undefined) continue;
      for (const chunk of job.chunks.values())
        if (chunk.modRevision === null) keys.push(keyOf(state, job, chunk));
      for (const [key, { modRevision }] of job.supersededChunks) if (modRevision === null) keys.push(key);
    }
    effects.push({ kind: 'reconcile', jobs: waiting, chunks: keys });
    return;
  }
  state.commitNotBefore = now.monotonicMs;
  for (const id of waiting) {
    const job = state.jobs.get(id);
    if (job === undefined) continue;
    const truth = found.jobs.get(id);
    if (job.finalStage === null && truth !== undefined && !truth.live) {
      const { ended } = truth;
      endJob(state, job, ended?.stage ?? 'withdrawn', ended === null ? null : finalOutcomeOf(ended, now));
    }
    for (const chunk of job.chunks.values()) {
      if (chunk.modRevision !== null) continue;
      chunk.modRevision = found.chunks.get(keyOf(state, job, chunk)) ?? 0;
      if (job.finalStage === null)
        chunk.committedVersion = Math.min(chunk.committedVersion, chunk.version - 1);
    }
    for (const [key, older] of job.supersededChunks) {
      if (older.modRevision !== null) continue;
      const modRevision = found.chunks.get(key);
      if (modRevision === undefined) job.supersededChunks.delete(key);
      else older.modRevision = modRevision;
    }
    markDirty(state, job);
  }
}
