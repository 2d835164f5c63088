/** Jobs and attempts: who may be where, what is done, and what of it is committed. */
import { chunkKey, encodeChunk, endedKey, jobKey, TERM_KEY } from '../wire/records.js';
import type { Condition, Write } from '../wire/state.js';
import type { CommitOutcome, Effect, LoadedChunk, Recheck } from './effects.js';
import {
  isDone,
  taskKey,
  type Chunk,
  type CommitInFlight,
  type CoreState,
  type JobState,
  type LiveClaim,
  type Machine,
  type Now,
} from './state.js';
import type { ChunkRecord, Claim, FinalStage, JobSpec, Stamped } from './types.js';

export function addJob(state: CoreState, job: Stamped<JobSpec>, over: FinalStage | null = null): JobState {
  const known = state.jobs.get(job.value.id);
  if (known !== undefined) return known;
  const added: JobState = {
    spec: job.value,
    stamp: job.stamp,
    over,
    done: new Uint8Array(Math.ceil(job.value.tasks / 8)),
    doneCount: 0,
    attempts: new Map(),
    claims: new Map(),
    again: [],
    cursor: 0,
    chunks: new Map(),
    errors: 0,
    retryAt: 0,
    failedOn: new Set(),
  };
  state.jobs.set(job.value.id, added);
  if (over !== null) state.unsaved.add(added);
  state.placeDirty = true;
  return added;
}

function chunkOf(state: CoreState, job: JobState, task: number): Chunk {
  const index = Math.floor(task / state.rules.chunkTasks);
  let chunk = job.chunks.get(index);
  if (chunk === undefined) {
    chunk = { index, stamp: 0, version: 0, committed: 0, claimed: 0, waitsFrom: null };
    job.chunks.set(index, chunk);
  }
  return chunk;
}

function touch(state: CoreState, job: JobState, task: number): Chunk {
  const chunk = chunkOf(state, job, task);
  chunk.version += 1;
  state.unsaved.add(job);
  return chunk;
}

export function isDurable(state: CoreState, claim: LiveClaim): boolean {
  return claim.version <= chunkOf(state, claim.job, claim.task).committed;
}

/** The next task of a job that waits for a machine, or null. */
export function nextTask(job: JobState): number | null {
  for (;;) {
    const again = job.again[0];
    if (again !== undefined) {
      if (!isDone(job, again) && !job.claims.has(again)) return again;
      job.again.shift();
    } else if (job.cursor < job.spec.tasks) {
      if (!isDone(job, job.cursor) && !job.claims.has(job.cursor)) return job.cursor;
      job.cursor += 1;
    } else {
      return null;
    }
  }
}

export function waitingTasks(job: JobState): number {
  return job.over === null ? job.spec.tasks - job.doneCount - job.claims.size : 0;
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
    unwanted: false,
  };
  job.claims.set(task, claim);
  machine.claims.set(taskKey(job.spec.id, task), claim);
}

/** Takes a task off a machine. The caller holds the proof that it is gone from there. */
export function releaseClaim(state: CoreState, claim: LiveClaim, done: boolean): Chunk {
  const { job, task } = claim;
  const machine = state.machines.get(claim.machine);
  machine?.claims.delete(taskKey(job.spec.id, task));
  job.claims.delete(task);
  if (done) {
    markDone(job, task);
  } else if (!isDone(job, task)) {
    const at = job.again.findIndex((other) => other > task);
    job.again.splice(at < 0 ? job.again.length : at, 0, task);
  }
  state.placeDirty = true;
  return touch(state, job, task);
}

export function markDone(job: JobState, task: number): void {
  if (isDone(job, task)) return;
  job.done[task >> 3] = (job.done[task >> 3] ?? 0) | (1 << (task & 7));
  job.doneCount += 1;
}

/** Records a completion reported for an attempt the ledger has no claim for. */
export function recordStrayDone(state: CoreState, job: JobState, task: number): Chunk {
  markDone(job, task);
  return touch(state, job, task);
}

/** A job that ended: its tasks are stopped, and its records go once none can be on a machine. */
export function endJob(state: CoreState, job: JobState, stage: FinalStage): void {
  job.over = stage;
  state.unsaved.add(job);
  state.placeDirty = true;
}

function chunkRange(state: CoreState, job: JobState, chunk: Chunk): [number, number] {
  const first = chunk.index * state.rules.chunkTasks;
  return [first, Math.min(first + state.rules.chunkTasks, job.spec.tasks)];
}

function claimsIn(state: CoreState, job: JobState, chunk: Chunk): number {
  const [first, end] = chunkRange(state, job, chunk);
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
function endedSpec(id: string, chunk: number, chunkTasks: number, record: ChunkRecord): JobSpec {
  const { team, cpus, gpus, memoryGb } = record;
  return {
    id,
    jobClass: '',
    team,
    form: 'array',
    priority: 3,
    tasks: (chunk + 1) * chunkTasks,
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

export function loadChunk(
  state: CoreState,
  loaded: LoadedChunk,
  now: Now,
  machineOf: (name: string) => Machine,
): void {
  const { record } = loaded;
  // A chunk whose job is gone belongs to one that ended with tasks still out.
  let job = state.jobs.get(loaded.job);
  if (job === undefined || (job.over !== null && job.spec.tasks <= loaded.chunk * state.rules.chunkTasks)) {
    const earlier = job;
    state.jobs.delete(loaded.job);
    if (earlier !== undefined) state.unsaved.delete(earlier);
    const spec = endedSpec(loaded.job, loaded.chunk, state.rules.chunkTasks, record.value);
    job = addJob(state, { value: spec, stamp: 0 }, 'withdrawn');
    for (const [index, chunk] of earlier?.chunks ?? []) job.chunks.set(index, chunk);
    for (const [task, claim] of earlier?.claims ?? []) {
      const moved: LiveClaim = { ...claim, job };
      job.claims.set(task, moved);
      machineOf(claim.machine).claims.set(taskKey(loaded.job, task), moved);
    }
  }
  const chunk: Chunk = {
    index: loaded.chunk,
    stamp: record.stamp,
    version: 1,
    committed: 1,
    claimed: 0,
    waitsFrom: null,
  };
  job.chunks.set(loaded.chunk, chunk);
  const first = loaded.chunk * state.rules.chunkTasks;
  const bits = Buffer.from(record.value.done, 'base64');
  for (let task = first; task < Math.min(first + state.rules.chunkTasks, job.spec.tasks); task += 1) {
    const at = task - first;
    if (((bits[at >> 3] ?? 0) & (1 << (at & 7))) !== 0) markDone(job, task);
  }
  for (const [task, attempt] of Object.entries(record.value.attempts))
    job.attempts.set(Number(task), attempt);
  for (const [name, kept] of Object.entries(record.value.claims)) {
    const task = Number(name);
    job.attempts.set(task, kept.attempt);
    const age = Math.max(0, now.wall - kept.madeAt);
    const claim: LiveClaim = {
      job,
      task,
      ...kept,
      version: 1,
      // The leader before may have sent it.
      sent: true,
      stage: null,
      runningSince: null,
      expectedEnd: now.mono - age + state.rules.policy.expectedRun(job.spec),
      unwanted: false,
    };
    job.claims.set(task, claim);
    machineOf(kept.machine).claims.set(taskKey(loaded.job, task), claim);
  }
}

const isComplete = (job: JobState): boolean =>
  job.over === null && job.spec.form !== 'service' && job.doneCount === job.spec.tasks;

/** What a job's next write is for; the first is written first when not all fit. */
const RANKS = ['start', 'end', 'exit', 'clean'] as const;
type Rank = (typeof RANKS)[number];

/** Whether a chunk holds a claim whose start waits for its commit. */
const holdsStart = (chunk: Chunk): boolean => chunk.claimed > chunk.committed;

/**
 * Whether a chunk is to be written now. Exits can wait a little, for others of the job to
 * share their write: until then the worker keeps them in its reports, and the end of the
 * job itself does not wait for them.
 */
function isDue(state: CoreState, chunk: Chunk, now: Now): boolean {
  if (chunk.stamp === null || chunk.version === chunk.committed) return false;
  if (holdsStart(chunk)) return true;
  chunk.waitsFrom ??= now.mono;
  return now.mono - chunk.waitsFrom >= state.rules.timing.exitHold;
}

function rankOf(job: JobState): Rank {
  if (job.over !== null) return 'clean';
  if (isComplete(job)) return 'end';
  for (const chunk of job.chunks.values()) if (holdsStart(chunk)) return 'start';
  return 'exit';
}

/** Jobs that have something to write, in the order in which it is written. */
function toWrite(state: CoreState): JobState[] {
  const byRank = new Map<Rank, JobState[]>(RANKS.map((rank) => [rank, []]));
  for (const job of state.unsaved) byRank.get(rankOf(job))?.push(job);
  byRank.get('start')?.sort((a, b) => a.spec.priority - b.spec.priority);
  return RANKS.flatMap((rank) => byRank.get(rank) ?? []);
}

interface Draft {
  readonly when: Condition[];
  readonly apply: Write[];
  readonly chunks: { job: JobState; chunk: Chunk; version: number }[];
  readonly ending: JobState[];
  /** Bytes that may still be added. */
  bytes: number;
}

function removeChunk(draft: Draft, job: JobState, chunk: Chunk, stamp: number): void {
  const key = chunkKey(job.spec.id, chunk.index);
  draft.when.push({ key, stamp });
  draft.apply.push({ remove: key });
  draft.chunks.push({ job, chunk, version: chunk.version });
}

/** Removes the chunks of a job that ended, those of which no task can be on a machine. */
function draftCleaning(state: CoreState, draft: Draft, job: JobState, most: number): void {
  for (const chunk of job.chunks.values()) {
    if (draft.apply.length >= most) return;
    if (chunk.stamp === null || claimsIn(state, job, chunk) > 0) continue;
    if (chunk.stamp === 0) job.chunks.delete(chunk.index);
    else removeChunk(draft, job, chunk, chunk.stamp);
  }
  if (job.chunks.size === 0 && job.claims.size === 0) state.jobs.delete(job.spec.id);
}

function draftEnding(draft: Draft, job: JobState, most: number): void {
  if (draft.apply.length + 2 > most) return;
  const { id, tasks } = job.spec;
  draft.when.push({ key: jobKey(id), stamp: job.stamp });
  draft.apply.push({ remove: jobKey(id) });
  draft.apply.push({ put: endedKey(id), value: { stage: 'done', tasks, done: job.doneCount } });
  draft.ending.push(job);
  const [only] = job.chunks.values();
  const lone = only !== undefined && job.chunks.size === 1 && job.claims.size === 0;
  if (lone && only.stamp !== null && only.stamp > 0 && draft.apply.length < most)
    removeChunk(draft, job, only, only.stamp);
}

function draftChunks(state: CoreState, draft: Draft, job: JobState, most: number, now: Now): void {
  const { id } = job.spec;
  let guarded = false;
  for (const chunk of job.chunks.values()) {
    if (draft.apply.length >= most || draft.bytes <= 0) return;
    if (chunk.stamp === null || !isDue(state, chunk, now)) continue;
    const value = encodeChunk(chunkRecord(state, job, chunk));
    draft.bytes -= JSON.stringify(value).length + 200;
    // The job's own stamp: once its user has been told that it is cancelled,
    // no start of it can be committed any more.
    if (!guarded) draft.when.push({ key: jobKey(id), stamp: job.stamp });
    guarded = true;
    draft.when.push({ key: chunkKey(id, chunk.index), stamp: chunk.stamp });
    draft.apply.push({ put: chunkKey(id, chunk.index), value });
    draft.chunks.push({ job, chunk, version: chunk.version });
  }
}

/** Whether anything of a job is left to be written, now or later. */
function isSaved(state: CoreState, job: JobState): boolean {
  if (isComplete(job)) return false;
  for (const chunk of job.chunks.values()) {
    if (chunk.stamp === null) return false;
    // What still holds a claim is looked at again when that is released.
    const saved = job.over === null ? chunk.version === chunk.committed : claimsIn(state, job, chunk) > 0;
    if (!saved) return false;
  }
  return true;
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
  const draft: Draft = {
    when: [{ key: TERM_KEY, stamp: lead.stamp }],
    apply: [],
    chunks: [],
    ending: [],
    // 64 KiB a transaction, with room for the conditions and the envelope.
    bytes: 48 * 1024,
  };
  const most = state.rules.txnOps;
  for (const job of toWrite(state)) {
    if (draft.apply.length >= most || draft.bytes <= 0) break;
    if (job.over !== null) draftCleaning(state, draft, job, most);
    else if (isComplete(job)) draftEnding(draft, job, most);
    else draftChunks(state, draft, job, most, now);
    if (isSaved(state, job)) state.unsaved.delete(job);
  }
  const { when, apply, chunks, ending } = draft;
  if (apply.length === 0) return null;
  const commit: CommitInFlight = { id: state.nextCommit++, chunks, ending };
  state.commit = commit;
  return { kind: 'commit', id: commit.id, txn: { when, apply } };
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
    for (const { job, chunk, version } of commit.chunks) {
      chunk.committed = version;
      chunk.waitsFrom = null;
      if (job.over !== null || commit.ending.includes(job)) job.chunks.delete(chunk.index);
      else chunk.stamp = outcome.revision;
    }
    for (const job of commit.ending) endJob(state, job, 'done');
    return 'kept';
  }
  if (outcome.kind === 'failed' && outcome.keys.includes(TERM_KEY)) return 'deposed';
  if (outcome.kind === 'refused') {
    state.commitNotBefore = now.mono + state.rules.timing.tick;
    return 'kept';
  }
  // Unknown, or a condition failed: read again what it touched before going on. A
  // transaction that got no answer may still be applied; with the fresh stamps, at
  // most one of it and its successor is.
  const jobs = new Set<string>(commit.ending.map((job) => job.spec.id));
  const keys: string[] = [];
  for (const { job, chunk } of commit.chunks) {
    chunk.stamp = null;
    jobs.add(job.spec.id);
    keys.push(chunkKey(job.spec.id, chunk.index));
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
      for (const chunk of state.jobs.get(id)?.chunks.values() ?? []) {
        if (chunk.stamp === null) keys.push(chunkKey(id, chunk.index));
      }
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
      endJob(state, job, truth.ended?.stage ?? 'withdrawn');
    }
    for (const chunk of job.chunks.values()) {
      if (chunk.stamp !== null) continue;
      chunk.stamp = found.chunks.get(chunkKey(id, chunk.index)) ?? 0;
      if (job.over === null) chunk.committed = Math.min(chunk.committed, chunk.version - 1);
    }
  }
}
