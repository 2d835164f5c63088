/** Wire format of the user API: job descriptions in, responses out. Only this module contains its field names. */
import type { FinalStage, JobForm, JobSpec, Priority } from '../core/types.js';
import {
  asObject,
  isNonNegativeNumber,
  isNonNegativeInteger,
  isBoolean,
  isNonEmptyString,
} from '../core/values.js';

/** Format of a job id. */
export const JOB_ID = /^req-\d{1,18}$/;
/** Maximum number of tasks in one job. */
const MAX_TASKS = 100_000;

const PRIORITIES = new Map<unknown, Priority>([
  ['prod', 0],
  ['high', 1],
  ['normal', 2],
  ['best_effort', 3],
]);

const FORMS = new Map<unknown, JobForm>([
  ['array', 'array'],
  ['ensemble', 'gang'],
  ['service', 'service'],
]);

/** The parsed value of a request body, or the reason why the request is refused. */
export type ParseResult<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly reason: string };

/** Thrown if a field is invalid; the message is the reason that the user receives. */
class InvalidFieldError extends Error {}

/** Typed access to the fields of a submission; each method throws {@link InvalidFieldError}. */
class SubmissionFields {
  constructor(private readonly raw: Readonly<Record<string, unknown>>) {}

  required<T>(field: string, test: (value: unknown) => value is T, expected: string): T {
    const value = this.raw[field];
    if (!test(value)) throw new InvalidFieldError(`${field} must be ${expected}`);
    return value;
  }

  optional<T>(field: string, test: (value: unknown) => value is T, expected: string): T | null {
    const value = this.raw[field] ?? null;
    if (value !== null && !test(value)) throw new InvalidFieldError(`${field} must be ${expected}`);
    return value;
  }

  /** Reads an enumeration value by its name on the wire. */
  choice<T>(field: string, valueByName: ReadonlyMap<unknown, T>, expected: string): T {
    const value = valueByName.get(this.raw[field]);
    if (value === undefined) throw new InvalidFieldError(`${field} must be ${expected}`);
    return value;
  }

  text = (field: string): string => this.required(field, isNonEmptyString, 'a text');
  flag = (field: string): boolean => this.required(field, isBoolean, 'true or false');
  amount = (field: string): number => this.required(field, isNonNegativeNumber, 'a number of at least 0');
}

const isTextList = (value: unknown): value is string[] =>
  Array.isArray(value) && value.every(isNonEmptyString);

const isJobIdList = (value: unknown): value is string[] =>
  isTextList(value) && value.every((id) => JOB_ID.test(id));

function parseJobId(fields: SubmissionFields): string {
  const id = fields.required('nameId', isNonEmptyString, 'a job id');
  if (!JOB_ID.test(id)) throw new InvalidFieldError('nameId must be of the form req-000000');
  return id;
}

function parseTaskCount(fields: SubmissionFields): number {
  const tasks = fields.required('movements', isNonNegativeInteger, 'a whole number');
  if (tasks < 1 || tasks > MAX_TASKS) throw new InvalidFieldError(`movements must be 1 to ${MAX_TASKS}`);
  return tasks;
}

/** Reads the fields in the order in which errors are reported: only the first invalid field is named. */
function parseJobSpec(fields: SubmissionFields, submittedAt: number): JobSpec {
  const identity = {
    id: parseJobId(fields),
    jobClass: fields.text('repertoire'),
    team: fields.text('crew'),
    form: fields.choice('form', FORMS, 'array, ensemble or service'),
    priority: fields.choice('urgency', PRIORITIES, 'prod, high, normal or best_effort'),
    tasks: parseTaskCount(fields),
  };
  const types = fields.optional('benches', isTextList, 'null or a list of texts');
  const zone = fields.optional('hall', isNonEmptyString, 'null or a text');
  const deadlineS = fields.optional('curtainS', isNonNegativeNumber, 'null or a number');
  const awaits = fields.optional('awaits', isJobIdList, 'null or a list of job ids') ?? [];
  return {
    ...identity,
    cpus: fields.amount('cores'),
    gpus: fields.amount('gpus'),
    memoryGb: fields.amount('memGb'),
    image: fields.text('edition'),
    imageGb: fields.amount('pullGb'),
    types,
    zone,
    oneZone: fields.flag('together'),
    spread: fields.flag('apart'),
    spot: fields.flag('borrowed'),
    estimateS: fields.amount('expectedS'),
    checkpointS: fields.amount('bookmarkS'),
    saveS: fields.amount('bookmarkWriteS'),
    deadlineS,
    submittedAt,
    ...(awaits.length === 0 ? {} : { awaits: [...new Set(awaits)] }),
  };
}

/**
 * Reads a submission; the reason of a refusal names the first invalid field.
 * @param body The request's body, parsed from JSON.
 * @param submittedAt Time of the submission, in milliseconds since the Unix epoch.
 */
export function parseSubmission(body: unknown, submittedAt: number): ParseResult<JobSpec> {
  const raw = asObject(body);
  if (raw === null) return { ok: false, reason: 'the body must be a JSON object' };
  try {
    return { ok: true, value: parseJobSpec(new SubmissionFields(raw), submittedAt) };
  } catch (error) {
    if (error instanceof InvalidFieldError) return { ok: false, reason: error.message };
    throw error;
  }
}

/** Maximum number of dependencies listed in one response. */
const MAX_LISTED_DEPENDENCIES = 20;

/** The stage of a job, as its user sees it. */
type JobStage = 'pending' | 'running' | FinalStage;

/** A job as its user sees it. */
export interface JobView {
  readonly id: string;
  readonly stage: JobStage;
  readonly done?: number;
  readonly running?: number;
  /** Why tasks of the job wait for a machine, if a leader has reported a reason. */
  readonly waitReason?: string | undefined;
  /** Dependencies that this node does not know to have ended. */
  readonly awaits?: readonly string[];
}

/** Encodes the response body for a job. */
export function encodeJobView(view: JobView): object {
  return {
    nameId: view.id,
    stage: view.stage,
    ...(view.done === undefined ? {} : { done: view.done }),
    ...(view.running === undefined ? {} : { running: view.running }),
    ...(view.waitReason === undefined ? {} : { why: view.waitReason }),
    ...(view.awaits === undefined || view.awaits.length === 0
      ? {}
      : { awaits: view.awaits.slice(0, MAX_LISTED_DEPENDENCIES), awaitsInAll: view.awaits.length }),
  };
}
