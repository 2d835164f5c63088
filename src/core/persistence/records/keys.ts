/** The keys under which the service keeps its records in the key-value store. */

/** Prefix of the records of live jobs. */
export const JOB_PREFIX = 'job/';

/** Prefix of the chunk records of jobs. */
export const RUN_PREFIX = 'run/';

/** Key of the latest leader's term; each transaction of a leader is conditional on its revision. */
export const TERM_KEY = 'term';

/** Key of the leader record, which is bound to the leader's lease. */
export const LEADER_KEY = 'leader';

/** Key of the demand that a leader has observed, stored for the next leader. */
export const DEMAND_KEY = 'memory';

/** Prefix of the parts of the observed demand, used instead of `DEMAND_KEY` once values may have to be small. */
export const DEMAND_PREFIX = 'memory/';

/** Key of a part of the observed demand; the first part is 0. */
export const demandKey = (part: number): string => DEMAND_PREFIX + part;

/** Prefix of the records in which followers list the machines that they answer for an unreachable leader. */
export const RELAY_PREFIX = 'deputy/';

/** Key of a part of a node's relay record; the first part is 0. */
export const relayKey = (node: string, part: number): string => `${RELAY_PREFIX}${node}/${part}`;

/** Prefix of the records in which each node declares the format that its program can read. */
export const VERSION_PREFIX = 'version/';

/** Key of the record in which a node declares the format that its program can read. */
export const versionKey = (node: string): string => VERSION_PREFIX + node;

/** Key of the format record; written once every controller can read this version's format, and never removed. */
export const FORMAT_KEY = 'format';

/** Key of a live job's record. */
export const jobKey = (id: string): string => JOB_PREFIX + id;

/** The id of the job whose record is under a key with `JOB_PREFIX`. */
export const jobIdOfKey = (key: string): string => key.slice(JOB_PREFIX.length);

/** Key of the record of a job's end. */
export const endedKey = (id: string): string => `ended/${id}`;

/** Identifies a chunk within its job: it holds `width` tasks, the first of which is `index` times `width`. */
export interface ChunkName {
  readonly index: number;
  /** Tasks per chunk; null: the width that the first versions derive from the size limit of a value. */
  readonly width: number | null;
}

/** Digits of a chunk's index in its key: a fixed number keeps the chunks of a job sorted by index. */
const INDEX_DIGITS = 5;

/** Key of a chunk record. */
export function chunkKey(id: string, { index, width }: ChunkName): string {
  const widthPart = width === null ? '' : `${width}.`;
  return `${RUN_PREFIX}${id}/${widthPart}${String(index).padStart(INDEX_DIGITS, '0')}`;
}

/** Parses the key of a chunk into its job's id and its name; null if it is not the key of a chunk. */
export function parseChunkKey(key: string): (ChunkName & { readonly job: string }) | null {
  const found = /^run\/(.+)\/(?:([1-9]\d{0,6})\.)?(\d{1,6})$/.exec(key);
  if (found?.[1] === undefined) return null;
  return {
    job: found[1],
    index: Number(found[3]),
    width: found[2] === undefined ? null : Number(found[2]),
  };
}
