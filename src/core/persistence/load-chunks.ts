/**
 * Loads the chunk records that earlier leaders committed into a new leader's state. Records of different widths
 * may hold the same task: the narrowest one was written last, so it alone is valid for its tasks.
 */
import { addClaim, markDone } from '../jobs/jobs.js';
import type { LoadedChunk } from '../effects.js';
import type { JobState, LiveClaim, Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';
import type { ChunkRecord, Claim, JobSpec } from '../types.js';
import { createChunk, type TaskRange } from './chunks.js';
import { addJob } from './job-lifecycle.js';
import { chunkKey } from './records.js';

/** Returns the machine with a name; it is created if it is not known yet. */
type MachineLookup = (name: string) => Machine;

const widthOf = (state: CoreState, { name }: LoadedChunk): number => name.width ?? state.legacyChunkTasks;

/** Builds a placeholder for the specification of an ended job from one of its chunk records. */
function endedJobSpec(id: string, tasks: number, record: ChunkRecord): JobSpec {
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

/** Adds the jobs that have chunks but no job record: they ended while tasks were still on machines. */
function addEndedJobs(state: CoreState, loaded: readonly LoadedChunk[]): void {
  const ended = new Map<string, { end: number; record: ChunkRecord }>();
  for (const chunk of loaded) {
    if (state.jobs.has(chunk.job)) continue;
    const end = Math.max((chunk.name.index + 1) * widthOf(state, chunk), ended.get(chunk.job)?.end ?? 0);
    ended.set(chunk.job, { end, record: chunk.record.value });
  }
  for (const [id, { end, record }] of ended)
    addJob(state, { value: endedJobSpec(id, end, record), modRevision: 0 }, 'withdrawn');
}

/**
 * Loads the chunks of the jobs in `state`, and those of jobs that have ended. `getMachine` returns the machine of
 * each claim, whether or not this leader has had contact with it.
 */
export function loadChunks(
  state: CoreState,
  loaded: readonly LoadedChunk[],
  now: Now,
  getMachine: MachineLookup,
): void {
  const narrowFirst = [...loaded].sort((a, b) => widthOf(state, a) - widthOf(state, b));
  addEndedJobs(state, narrowFirst);
  const coveredRanges = new Map<JobState, TaskRange[]>();
  for (const chunk of narrowFirst) {
    const job = state.jobs.get(chunk.job);
    if (job === undefined) continue;
    const width = widthOf(state, chunk);
    const first = chunk.name.index * width;
    const end = Math.min(first + width, job.spec.tasks);
    const covered = coveredRanges.get(job) ?? [];
    const isValidFor = (task: number): boolean =>
      task >= first && task < end && !covered.some(([from, to]) => task >= from && task < to);
    const { modRevision, value } = chunk.record;
    if (chunk.name.width === state.layout.keyWidth)
      job.chunks.set(chunk.name.index, createChunk(chunk.name.index, modRevision));
    else job.supersededChunks.set(chunkKey(chunk.job, chunk.name), { modRevision, first, end });
    loadRecord(state, job, value, first, isValidFor, now, getMachine);
    coveredRanges.set(job, [...covered, [first, end]]);
  }
}

/** Loads one record, whose first task is `first`, for the tasks for which `isValidFor` returns true. */
function loadRecord(
  state: CoreState,
  job: JobState,
  record: ChunkRecord,
  first: number,
  isValidFor: (task: number) => boolean,
  now: Now,
  getMachine: MachineLookup,
): void {
  const doneBits = Buffer.from(record.done, 'base64');
  for (let bit = 0; bit < 8 * doneBits.length; bit += 1) {
    const isSet = ((doneBits[bit >> 3] ?? 0) & (1 << (bit & 7))) !== 0;
    if (isSet && isValidFor(first + bit)) markDone(state, job, first + bit);
  }
  for (const [key, attempt] of Object.entries(record.attempts)) {
    const task = Number(key);
    if (isValidFor(task)) job.attempts.set(task, attempt);
  }
  for (const [key, claim] of Object.entries(record.claims)) {
    const task = Number(key);
    if (isValidFor(task)) loadClaim(state, job, task, claim, now, getMachine(claim.machine));
  }
}

/** Takes over a claim of an earlier leader. */
function loadClaim(
  state: CoreState,
  job: JobState,
  task: number,
  claim: Claim,
  now: Now,
  machine: Machine,
): void {
  job.attempts.set(task, claim.attempt);
  const ageMs = Math.max(0, now.epochMs - claim.createdAt);
  const loaded: LiveClaim = {
    job,
    task,
    ...claim,
    version: 0,
    // An earlier leader may have sent the start.
    startSent: true,
    stage: null,
    runningSince: null,
    expectedEnd: now.monotonicMs - ageMs + state.config.policy.expectedRunMs(job.spec),
    isReserved: false,
    stopRequested: false,
  };
  job.lastPlacedAt = now.monotonicMs;
  addClaim(state, loaded, machine);
}
