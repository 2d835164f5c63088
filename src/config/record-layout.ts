/**
 * Layout of the stored records: widths, sizes and write rates, derived from the limits of the key-value store.
 * The first versions write wide chunks; once every controller reads the new format, narrower ones are written.
 */
import type { RecordLayout } from '../core/model.js';
import { FORMAT, type FormatRecord } from '../core/persistence/index.js';
import { strictestLimits, type PlatformSettings, type StoreLimits } from './settings.js';

/** Upper estimate of the bytes that one task takes in a chunk written by the first versions. */
const INITIAL_BYTES_PER_TASK = 64;
/** Upper estimate of the bytes that one task takes in a chunk written by this version. */
const BYTES_PER_TASK = 28;
/** Space reserved for a chunk's envelope, as a number of tasks of `BYTES_PER_TASK` bytes. */
const ENVELOPE_TASKS = 8;
/** Share of the store's write rate that the leader may use; the rest is left for submissions. */
const WRITE_SHARE = 0.6;
const BYTES_PER_KIB = 1024;
const BITS_PER_BYTE = 8;

/** Rounds a number of bits down to whole bytes of a bit set, with a minimum of one byte. */
const roundDownToBytes = (bits: number): number =>
  BITS_PER_BYTE * Math.max(1, Math.floor(bits / BITS_PER_BYTE));

function createLayout(limits: StoreLimits, keyWidth: number | null, tasksPerChunk: number): RecordLayout {
  const writesPerSecond = WRITE_SHARE * limits.write_rps;
  return {
    keyWidth,
    tasksPerChunk,
    maxMutations: limits.txn_ops,
    maxValueBytes: limits.value_kb * BYTES_PER_KIB,
    writesPerSecond,
    writeBurst: Math.max(writesPerSecond, limits.txn_ops),
  };
}

/** Largest number of tasks in a chunk that is certain to fit into one value. */
const maxTasksPerChunk = (limits: StoreLimits): number =>
  roundDownToBytes((limits.value_kb * BYTES_PER_KIB) / BYTES_PER_TASK - ENVELOPE_TASKS);

/**
 * The layout that the first versions write: chunks as wide as a value allows under the present limits.
 * Announced limits are ignored.
 */
export function initialLayout({ cluster: { state } }: PlatformSettings): RecordLayout {
  const tasks = roundDownToBytes((state.value_kb * BYTES_PER_KIB) / INITIAL_BYTES_PER_TASK);
  return createLayout(state, null, tasks);
}

/**
 * The layout that this version writes once the format record is in force. The initial width is kept if chunks of
 * that width still fit. The recorded width never grows, since a narrower chunk supersedes a wider one.
 */
export function upgradedLayout(settings: PlatformSettings, { wide, tasks }: FormatRecord): RecordLayout {
  const limits = strictestLimits(settings);
  const width = Math.min(tasks, maxTasksPerChunk(limits));
  return width < wide ? createLayout(limits, width, width) : createLayout(limits, null, wide);
}

/** The format record to store, given the one stored now (`null`: none yet). */
export function formatRecord(settings: PlatformSettings, stored: FormatRecord | null): FormatRecord {
  const tasks = maxTasksPerChunk(strictestLimits(settings));
  if (stored !== null) return { ...stored, tasks: Math.min(stored.tasks, tasks) };
  const wide = initialLayout(settings).tasksPerChunk;
  return { format: FORMAT, wide, tasks: Math.min(wide, tasks) };
}
