/** The users' interface: job descriptions in, answers out. */
import type { FinalStage, JobForm, JobSpec, Priority } from '../core/types.js';
import { asObject, isAmount, isCount, isFlag, isText } from '../core/values.js';

export const JOB_ID = /^req-\d{1,18}$/;
export const MAX_TASKS = 100_000;

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

export type ParseResult<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly reason: string };

class InvalidFieldError extends Error {}

/** Reads a submission; the reason names the first field at fault. */
export function parseSubmission(body: unknown, now: number): ParseResult<JobSpec> {
  const raw = asObject(body);
  if (raw === null) return { ok: false, reason: 'the body must be a JSON object' };
  const need = <T>(field: string, test: (value: unknown) => value is T, what: string): T => {
    const value = raw[field];
    if (!test(value)) throw new InvalidFieldError(`${field} must be ${what}`);
    return value;
  };
  const amount = (field: string): number => need(field, isAmount, 'a number of at least 0');
  const optional = (field: string): unknown => raw[field] ?? null;
  try {
    const id = need('nameId', isText, 'a job id');
    if (!JOB_ID.test(id)) throw new InvalidFieldError('nameId must be of the form req-000000');
    const jobClass = need('repertoire', isText, 'a text');
    const team = need('crew', isText, 'a text');
    const form = FORMS.get(raw['form']);
    if (form === undefined) throw new InvalidFieldError('form must be array, ensemble or service');
    const priority = PRIORITIES.get(raw['urgency']);
    if (priority === undefined)
      throw new InvalidFieldError('urgency must be prod, high, normal or best_effort');
    const tasks = need('movements', isCount, 'a whole number');
    if (tasks < 1 || tasks > MAX_TASKS) throw new InvalidFieldError(`movements must be 1 to ${MAX_TASKS}`);
    const types = optional('benches');
    if (types !== null && !(Array.isArray(types) && types.every(isText))) {
      throw new InvalidFieldError('benches must be null or a list of texts');
    }
    const zone = optional('hall');
    if (zone !== null && !isText(zone)) throw new InvalidFieldError('hall must be null or a text');
    const deadlineS = optional('curtainS');
    if (deadlineS !== null && !isAmount(deadlineS))
      throw new InvalidFieldError('curtainS must be null or a number');
    const awaits = optional('awaits') ?? [];
    if (!Array.isArray(awaits) || !awaits.every((name) => isText(name) && JOB_ID.test(name))) {
      throw new InvalidFieldError('awaits must be null or a list of job ids');
    }
    return {
      ok: true,
      value: {
        id,
        jobClass,
        team,
        form,
        priority,
        tasks,
        cpus: amount('cores'),
        gpus: amount('gpus'),
        memoryGb: amount('memGb'),
        image: need('edition', isText, 'a text'),
        imageGb: amount('pullGb'),
        types: types as string[] | null,
        zone,
        oneZone: need('together', isFlag, 'true or false'),
        spread: need('apart', isFlag, 'true or false'),
        spot: need('borrowed', isFlag, 'true or false'),
        estimateS: amount('expectedS'),
        checkpointS: amount('bookmarkS'),
        saveS: amount('bookmarkWriteS'),
        deadlineS,
        submittedAt: now,
        ...(awaits.length === 0 ? {} : { awaits: [...new Set(awaits as string[])] }),
      },
    };
  } catch (error) {
    if (error instanceof InvalidFieldError) return { ok: false, reason: error.message };
    throw error;
  }
}

/** Awaited jobs that an answer names. */
const MAX_LISTED_DEPENDENCIES = 20;

export type JobStage = 'pending' | 'running' | FinalStage;

export interface JobView {
  readonly id: string;
  readonly stage: JobStage;
  readonly done?: number;
  readonly running?: number;
  /** Why tasks of it wait for a machine, if a leader has said. */
  readonly waitReason?: string | undefined;
  /** Jobs that it waits for, as far as this node knows. */
  readonly awaits?: readonly string[];
}

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
