/** Jobs and attempts: who may be where, what is done, and what of it is committed. */
import { needAttention } from '../attention.js';
import { chunkKey, encodeChunk, encodeSmallChunk, endedKey, jobKey, TERM_KEY } from './records.js';
import type { CommitOutcome, Effect, LoadedChunk, Recheck } from '../effects.js';
import { log } from '../log.js';
import { dropClaim, enterClaim, isComplete, markDone, recount } from '../jobs/jobs.js';
import { finalNow, finalOf, joinPipeline, leavePipeline } from '../jobs/pipelines.js';
import {
  isDone,
  isExitKept,
  type Chunk,
  type CommitInFlight,
  type Final,
  type JobState,
  type Layout,
  type OlderChunk,
  type LiveClaim,
  type Machine,
  type Now,
} from '../model.js';
import type { CoreState } from '../state.js';
import { markClean, markDirty, hasDirtyJobs, holdsStart, toWrite } from './dirty-jobs.js';
import type { ChunkRecord, Claim, Condition, FinalStage, JobSpec, Stamped, Write } from '../types.js';

export function addJob(state: CoreState, job: Stamped<JobSpec>, over: FinalStage | null = null): JobState {
  const known = state.jobs.get(job.value.id);
  if (known !== undefined) return known;
  const added: JobState = {
    spec: job.value,
    stamp: job.stamp,
    over,
    waitsFor: new Set(),
    readyAt: job.value.submittedAt,
    priority: job.value.priority,
    dueAt: Infinity,
    waiting: 0,
    present: 0,
    running: 0,
    rank: null,
    exitsSince: 0,
    servedAt: -Infinity,
    stoppedAt: -Infinity,
    queued: false,
    counted: false,
    done: new Uint8Array(Math.ceil(job.value.tasks / 8)),
    doneCount: 0,
    attempts: new Map(),
    claims: new Map(),
    again: [],
    cursor: 0,
    chunks: new Map(),
    older: new Map(),
    tries: 0,
    retryAt: 0,
    failedOn: new Set(),
  };
  state.jobs.set(job.value.id, added);
  if (over !== null) markDirty(state, added);
  else joinPipeline(state, added);
  recount(state, added);
  state.placeDirty = true;
  return added;
}

function chunkOf(state: CoreState, job: JobState, task: number): Chunk {
  const index = Math.floor(task / state.layout.tasks);
  let chunk = job.chunks.get(index);
  if (chunk === undefined) {
    chunk = { index, stamp: 0, version: 0, committed: 0, claimed: 0, waitsFrom: null, blockedUntil: 0 };
    job.chunks.set(index, chunk);
  }
  return chunk;
}

function touch(state: CoreState, job: JobState, task: number): Chunk {
  const chunk = chunkOf(state, job, task);
  chunk.version += 1;
  chunk.waitsFrom ??= state.mono;
  markDirty(state, job);
  return chunk;
}

export function isDurable(state: CoreState, claim: LiveClaim): boolean {
  return claim.version <= chunkOf(state, claim.job, claim.task).committed;
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
  chunk.claimed = chunk.version;
  markDirty(state, job);
  const claim: LiveClaim = {
    job,
    task,
    attempt,
    machine: machine.name,
    session: machine.session,
    madeAt: now.wall,
    version: chunk.version,
    sent: false,
    stage: null,
    runningSince: null,
    expectedEnd,
    owed: state.promised.includes(job),
    unwanted: false,
  };
  job.servedAt = now.mono;
  enterClaim(state, claim, machine);
}

/** Takes a task off a machine. The caller holds the proof that it is gone from there. */
export function releaseClaim(state: CoreState, claim: LiveClaim, done: boolean): Chunk {
  const { job, task } = claim;
  dropClaim(state, claim);
  if (done) {
    markDone(state, job, task);
  } else if (!isDone(job, task)) {
    const at = job.again.findIndex((other) => other > task);
    job.again.splice(at < 0 ? job.again.length : at, 0, task);
  }
  state.placeDirty = true;
  return touch(state, job, task);
}

/** Records a completion reported for an attempt the ledger has no claim for. */
export function recordStrayDone(state: CoreState, job: JobState, task: number): Chunk {
  markDone(state, job, task);
  return touch(state, job, task);
}

/**
 * A job that ended: its tasks are stopped, and its records go once none can be on a machine.
 * `final` is its committed record, null where that has not been read.
 */
export function endJob(state: CoreState, job: JobState, stage: FinalStage, final: Final | null): void {
  job.over = stage;
  for (const { machine } of job.claims.values()) needAttention(state, machine);
  recount(state, job);
  leavePipeline(state, job, final);
  markDirty(state, job);
  state.placeDirty = true;
}

export function chunkRange(state: CoreState, job: JobState, chunk: Chunk): [number, number] {
  const first = chunk.index * state.layout.tasks;
  return [first, Math.min(first + state.layout.tasks, job.spec.tasks)];
}

const keyOf = (state: CoreState, job: JobState, { index }: Chunk): string =>
  chunkKey(job.spec.id, { index, width: state.layout.width });

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
      const { attempt, machine, session, madeAt } = claim;
      claims[task] = { attempt, machine, session, madeAt };
    } else if (!isDone(job, task)) {
      const attempt = job.attempts.get(task);
      if (attempt !== undefined) attempts[task] = attempt;
    }
  }
  const { team, cpus, gpus, memoryGb } = job.spec;
  const done = Buffer.from(job.done.subarray(first >> 3, (end + 7) >> 3)).toString('base64');
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
  const widthOf = ({ name }: LoadedChunk): number => name.width ?? state.wide;
  const narrowFirst = [...loaded].sort((a, b) => widthOf(a) - widthOf(b));
  // A chunk whose job is gone belongs to one that ended with tasks still out.
  const ended = new Map<string, { end: number; record: ChunkRecord }>();
  for (const one of narrowFirst) {
    if (state.jobs.has(one.job)) continue;
    const end = Math.max((one.name.index + 1) * widthOf(one), ended.get(one.job)?.end ?? 0);
    ended.set(one.job, { end, record: one.record.value });
  }
  for (const [id, { end, record }] of ended)
    addJob(state, { value: endedSpec(id, end, record), stamp: 0 }, 'withdrawn');
  const covered = new Map<JobState, [number, number][]>();
  for (const one of narrowFirst) {
    const job = state.jobs.get(one.job);
    if (job === undefined) continue;
    const first = one.name.index * widthOf(one);
    const end = Math.min(first + widthOf(one), job.spec.tasks);
    const before = covered.get(job) ?? [];
    const isNews = (task: number): boolean =>
      task >= first && task < end && !before.some(([from, to]) => task >= from && task < to);
    const { stamp, value } = one.record;
    if (one.name.width === state.layout.width) {
      const { index } = one.name;
      job.chunks.set(index, {
        index,
        stamp,
        version: 0,
        committed: 0,
        claimed: 0,
        waitsFrom: null,
        blockedUntil: 0,
      });
    } else job.older.set(chunkKey(one.job, one.name), { stamp, first, end });
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
    const age = Math.max(0, now.wall - kept.madeAt);
    const claim: LiveClaim = {
      job,
      task,
      ...kept,
      version: 0,
      // The leader before may have sent it.
      sent: true,
      stage: null,
      runningSince: null,
      expectedEnd: now.mono - age + state.rules.policy.expectedRun(job.spec),
      owed: false,
      unwanted: false,
    };
    job.servedAt = now.mono;
    enterClaim(state, claim, machineOf(kept.machine));
  }
}

/**
 * Goes over to another layout, while no write is under way. Nothing has to be written for
 * it: what is committed stands in the records of before, and each of them is replaced as
 * its tasks change.
 */
export function adoptLayout(state: CoreState, layout: Layout): void {
  const before = state.layout;
  if (before.tasks === layout.tasks && before.width === layout.width) {
    state.layout = layout;
    return;
  }
  for (const job of state.jobs.values()) {
    const old = [...job.chunks.values()];
    const ranges = new Map(old.map((chunk) => [chunk, chunkRange(state, job, chunk)] as const));
    for (const chunk of old) {
      const [first, end] = ranges.get(chunk) ?? [0, 0];
      if (chunk.stamp !== 0) job.older.set(keyOf(state, job, chunk), { stamp: chunk.stamp, first, end });
    }
    job.chunks.clear();
    state.layout = layout;
    for (const chunk of old) {
      const [first, end] = ranges.get(chunk) ?? [0, 0];
      const dirty = chunk.version !== chunk.committed;
      for (let task = first; dirty && task < end; task += layout.tasks) touch(state, job, task);
    }
    for (const claim of job.claims.values()) {
      const chunk = old.find((one) => one.index === Math.floor(claim.task / before.tasks));
      if (chunk === undefined || claim.version <= chunk.committed) claim.version = 0;
      else {
        const into = touch(state, job, claim.task);
        into.claimed = into.version;
        claim.version = into.version;
        markDirty(state, job);
      }
    }
    if (job.older.size > 0) markDirty(state, job);
    state.layout = before;
  }
  for (const machine of state.machines.values()) {
    for (const [name, exit] of machine.exits) {
      if (exit.job === null || isExitKept(exit)) {
        machine.exits.set(name, { job: null, chunk: null, version: 0 });
        continue;
      }
      const task = Number(/\/(\d+)#\d+$/.exec(name)?.[1] ?? 0);
      const into = exit.job.chunks.get(Math.floor(task / layout.tasks)) ?? null;
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
  if (chunk.stamp === null || chunk.version === chunk.committed) return false;
  if (chunk.blockedUntil > now.mono) return false;
  if (holdsStart(chunk)) return true;
  return now.mono - (chunk.waitsFrom ?? now.mono) >= state.rules.timing.exitHold;
}

interface Draft {
  readonly when: Condition[];
  readonly apply: Write[];
  readonly chunks: { job: JobState; chunk: Chunk; version: number; removed: boolean }[];
  readonly ending: JobState[];
  readonly withdrawing: JobState[];
  readonly older: { job: JobState; key: string }[];
  /** Bytes that may still be added. */
  bytes: number;
}

function remove(draft: Draft, key: string, stamp: number): void {
  draft.when.push({ key, stamp });
  draft.apply.push({ remove: key });
}

function removeChunk(state: CoreState, draft: Draft, job: JobState, chunk: Chunk, stamp: number): void {
  remove(draft, keyOf(state, job, chunk), stamp);
  draft.chunks.push({ job, chunk, version: chunk.version, removed: true });
}

function removeOlder(draft: Draft, job: JobState, key: string, stamp: number): void {
  remove(draft, key, stamp);
  draft.older.push({ job, key });
}

/** Removes the chunks of a job that ended, those of which no task can be on a machine. */
function draftCleaning(state: CoreState, draft: Draft, job: JobState, most: number): void {
  for (const [key, { stamp, first, end }] of job.older) {
    if (draft.apply.length >= most) return;
    if (stamp !== null && claimsIn(job, [first, end]) === 0) removeOlder(draft, job, key, stamp);
  }
  // What outranks an older record stays as long as that does.
  const outranks = job.older.size > draft.older.filter((older) => older.job === job).length;
  for (const chunk of job.chunks.values()) {
    if (draft.apply.length >= most || outranks) return;
    if (chunk.stamp === null || claimsIn(job, chunkRange(state, job, chunk)) > 0) continue;
    if (chunk.stamp === 0) job.chunks.delete(chunk.index);
    else removeChunk(state, draft, job, chunk, chunk.stamp);
  }
  if (job.chunks.size === 0 && job.older.size === 0 && job.claims.size === 0) state.jobs.delete(job.spec.id);
}

/** Moves a job from the live to the ended; with its run record if there is just one. */
function draftEnding(state: CoreState, draft: Draft, job: JobState, most: number, now: Now): void {
  if (draft.apply.length + 2 > most) return;
  const { id, tasks } = job.spec;
  const stage: FinalStage = isComplete(job) ? 'done' : 'withdrawn';
  remove(draft, jobKey(id), job.stamp);
  const at = Math.round(now.wall);
  draft.apply.push({ put: endedKey(id), value: { stage, tasks, done: job.doneCount, at } });
  (stage === 'done' ? draft.ending : draft.withdrawing).push(job);
  if (job.claims.size > 0 || draft.apply.length >= most) return;
  const kept = [...job.chunks.values()].filter(({ stamp }) => stamp !== 0);
  const [only] = kept;
  const [older] = job.older;
  if (kept.length === 1 && job.older.size === 0 && only !== undefined && only.stamp !== null)
    removeChunk(state, draft, job, only, only.stamp);
  else if (kept.length === 0 && job.older.size === 1 && older !== undefined && older[1].stamp !== null)
    removeOlder(draft, job, older[0], older[1].stamp);
}

function draftChunks(state: CoreState, draft: Draft, job: JobState, most: number, now: Now): void {
  const { id } = job.spec;
  const small = state.layout.width !== null;
  let guarded = false;
  for (const chunk of job.chunks.values()) {
    if (draft.apply.length >= most || draft.bytes <= 0) return;
    if (chunk.stamp === null || !isDue(state, chunk, now)) continue;
    const record = chunkRecord(state, job, chunk);
    const value = small ? encodeSmallChunk(record) : encodeChunk(record);
    const bytes = Buffer.byteLength(JSON.stringify(value));
    if (bytes > state.layout.valueBytes) {
      shed(state, job, chunk, now);
      continue;
    }
    draft.bytes -= bytes + 200;
    // The job's own stamp: once its user has been told that it is cancelled,
    // no start of it can be committed any more.
    if (!guarded) draft.when.push({ key: jobKey(id), stamp: job.stamp });
    guarded = true;
    draft.when.push({ key: keyOf(state, job, chunk), stamp: chunk.stamp });
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
    const { task, sent, version } = claim;
    if (task >= first && task < end && !sent && version > chunk.committed) releaseClaim(state, claim, false);
  }
  job.retryAt = now.mono + state.rules.timing.workerLease;
  chunk.claimed = 0;
  chunk.blockedUntil = now.mono + state.rules.timing.tick;
}

/** Whether today's chunks, as committed, hold all that is known of some tasks. */
function areHeld(state: CoreState, job: JobState, { first, end }: OlderChunk): boolean {
  for (let task = first; task < end; task += 1) {
    const stamp = job.chunks.get(Math.floor(task / state.layout.tasks))?.stamp;
    if (stamp !== undefined && stamp !== null && stamp > 0) continue;
    if (job.attempts.has(task) || isDone(job, task)) return false;
  }
  return true;
}

/** Removes records of another width once nothing is lost with them. */
function draftReplacing(state: CoreState, draft: Draft, job: JobState, most: number): void {
  for (const [key, older] of job.older) {
    if (draft.apply.length >= most) return;
    if (older.stamp !== null && areHeld(state, job, older)) removeOlder(draft, job, key, older.stamp);
  }
}

/** Whether anything of a job is left to be written, now or later. */
function isSaved(state: CoreState, job: JobState): boolean {
  if (isComplete(job) || state.doomed.has(job)) return false;
  for (const older of job.older.values()) {
    if (older.stamp === null) return false;
    const due =
      job.over === null ? areHeld(state, job, older) : claimsIn(job, [older.first, older.end]) === 0;
    if (due) return false;
  }
  for (const chunk of job.chunks.values()) {
    if (chunk.stamp === null) return false;
    // What still holds a claim is looked at again when that is released.
    const saved =
      job.over === null
        ? chunk.version === chunk.committed
        : claimsIn(job, chunkRange(state, job, chunk)) > 0 || job.older.size > 0;
    if (!saved) return false;
  }
  return true;
}

/** An ending takes three changes; fewer at a time would only cost conditions. */
const LEAST_CHANGES = 3;

/** How many changes may be written now. */
function allowance(state: CoreState, now: Now): number {
  const { budget, layout } = state;
  const since = Math.max(0, now.mono - budget.at) / 1000;
  budget.level = Math.min(layout.writeBurst, budget.level + since * layout.writeRate);
  budget.at = now.mono;
  const most = Math.min(layout.txnOps, Math.floor(budget.level));
  return most >= Math.min(LEAST_CHANGES, layout.txnOps) ? most : 0;
}

/**
 * The next transaction, if one is due. Only one is ever under way, and each chunk is
 * written on condition of its own stamp, so a transaction that is applied late can
 * never undo a later one.
 */
export function nextCommit(state: CoreState, now: Now): Effect | null {
  const lead = state.leadership;
  if (lead === null || state.commit !== null || state.recheck !== null || now.mono < state.commitNotBefore) {
    return null;
  }
  if (state.adopting !== null) {
    adoptLayout(state, state.adopting);
    state.adopting = null;
  }
  if (!hasDirtyJobs(state)) return null;
  const most = allowance(state, now);
  if (most === 0) return null;
  const draft: Draft = {
    when: [{ key: TERM_KEY, stamp: lead.stamp }],
    apply: [],
    chunks: [],
    ending: [],
    withdrawing: [],
    older: [],
    // 64 KiB a transaction, with room for the conditions and the envelope.
    bytes: 48 * 1024,
  };
  for (const job of toWrite(state)) {
    if (draft.apply.length >= most || draft.bytes <= 0) break;
    if (job.over !== null) draftCleaning(state, draft, job, most);
    else if (isComplete(job) || state.doomed.has(job)) draftEnding(state, draft, job, most, now);
    else draftChunks(state, draft, job, most, now);
    if (isSaved(state, job)) markClean(state, job);
    if (state.lone && draft.apply.length > 0) break;
  }
  const { when, apply, chunks, ending, withdrawing, older } = draft;
  if (apply.length === 0) return null;
  state.budget.level -= apply.length;
  const commit: CommitInFlight = { id: state.nextCommit++, chunks, ending, withdrawing, older };
  state.commit = commit;
  return { kind: 'commit', id: commit.id, txn: { when, apply } };
}

/**
 * The state service will not take it, ever: its limits are smaller than is known here. The
 * transaction is split until what does not fit stands alone; that is left for a while, so
 * that it neither holds up anything else nor is sent for ever.
 */
function reject(state: CoreState, commit: CommitInFlight, now: Now, effects: Effect[]): void {
  const { layout, lone } = state;
  log(effects, 'write too large for the state service', { most: layout.txnOps, lone });
  state.commitNotBefore = now.mono + state.rules.timing.tick;
  if (!lone && layout.txnOps > LEAST_CHANGES) {
    state.layout = { ...layout, txnOps: Math.max(LEAST_CHANGES, Math.floor(layout.txnOps / 2)) };
  } else if (!lone) {
    state.lone = true;
  } else {
    for (const { chunk } of commit.chunks) chunk.blockedUntil = now.mono + state.rules.timing.workerLease;
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
      chunk.committed = version;
      chunk.waitsFrom = null;
      // A job may end while a write of its chunk is under way: taken for removed, the record stayed for ever.
      if (removed) job.chunks.delete(chunk.index);
      else chunk.stamp = outcome.revision;
    }
    for (const { job, key } of commit.older) job.older.delete(key);
    for (const job of commit.ending) endJob(state, job, 'done', finalNow('done', now));
    for (const job of commit.withdrawing) endJob(state, job, 'withdrawn', finalNow('withdrawn', now));
    for (const { job } of [...commit.chunks, ...commit.older])
      if (job.over !== null || job.rank !== null) markDirty(state, job);
    return 'kept';
  }
  if (outcome.kind === 'failed' && outcome.keys.includes(TERM_KEY)) return 'deposed';
  if (outcome.kind === 'rejected') {
    reject(state, commit, now, effects);
    return 'kept';
  }
  if (outcome.kind === 'refused') {
    state.commitNotBefore = now.mono + state.rules.timing.tick;
    return 'kept';
  }
  // Unknown, or a condition failed: read again what it touched before going on. A
  // transaction that got no answer may still be applied; with the fresh stamps, at
  // most one of it and its successor is.
  const jobs = new Set<string>([...commit.ending, ...commit.withdrawing].map((job) => job.spec.id));
  const keys: string[] = [];
  for (const { job, chunk } of commit.chunks) {
    chunk.stamp = null;
    jobs.add(job.spec.id);
    keys.push(keyOf(state, job, chunk));
  }
  for (const { job, key } of commit.older) {
    const older = job.older.get(key);
    if (older !== undefined) older.stamp = null;
    jobs.add(job.spec.id);
    keys.push(key);
  }
  state.recheck = [...jobs];
  effects.push({ kind: 'recheck', jobs: [...jobs], chunks: keys });
  return 'kept';
}

export function settleRecheck(state: CoreState, found: Recheck | null, now: Now, effects: Effect[]): void {
  const waiting = state.recheck;
  if (waiting === null) return;
  state.recheck = null;
  if (found === null) {
    // The state service did not answer: ask again a tick later, commit nothing till then.
    state.recheck = waiting;
    const keys: string[] = [];
    for (const id of waiting) {
      const job = state.jobs.get(id);
      if (job === undefined) continue;
      for (const chunk of job.chunks.values()) if (chunk.stamp === null) keys.push(keyOf(state, job, chunk));
      for (const [key, { stamp }] of job.older) if (stamp === null) keys.push(key);
    }
    effects.push({ kind: 'recheck', jobs: waiting, chunks: keys });
    return;
  }
  state.commitNotBefore = now.mono;
  for (const id of waiting) {
    const job = state.jobs.get(id);
    if (job === undefined) continue;
    const truth = found.jobs.get(id);
    if (job.over === null && truth !== undefined && !truth.live) {
      const { ended } = truth;
      endJob(state, job, ended?.stage ?? 'withdrawn', ended === null ? null : finalOf(ended, now));
    }
    for (const chunk of job.chunks.values()) {
      if (chunk.stamp !== null) continue;
      chunk.stamp = found.chunks.get(keyOf(state, job, chunk)) ?? 0;
      if (job.over === null) chunk.committed = Math.min(chunk.committed, chunk.version - 1);
    }
    for (const [key, older] of job.older) {
      if (older.stamp !== null) continue;
      const stamp = found.chunks.get(key);
      if (stamp === undefined) job.older.delete(key);
      else older.stamp = stamp;
    }
    markDirty(state, job);
  }
}
