/**
 * Versions side by side. Each process declares in the state service what it can read; once
 * every configured controller has, the leader writes the `format` key, which never goes.
 * From then on what earlier programs would misread may be written, and the limits that the
 * state service will have some day are kept to. Until then everything is written as they do.
 */
import type { KeyValueStore } from './adapters/state.js';
import type { Clock } from './clock.js';
import type { RecordLayout } from './core/model.js';
import { strictestLimits, type PlatformSettings, type StoreLimits } from './settings.js';
import {
  decodeFormat,
  FORMAT,
  FORMAT_KEY,
  type FormatRecord,
  TERM_KEY,
  VERSION_PREFIX,
  versionKey,
} from './core/persistence/index.js';

/** Bytes that one task may take in a chunk, generously: as the first versions write it, and as this does. */
const BYTES_PER_TASK = 64;
const SMALL_BYTES_PER_TASK = 28;
/** Share of the state service's changes that a leader takes; the rest is for submissions. */
const WRITE_SHARE = 0.6;

const wholeBytes = (bytes: number): number => 8 * Math.max(1, Math.floor(bytes / 8));

function layout(limits: StoreLimits, width: number | null, tasks: number): RecordLayout {
  const writeRate = WRITE_SHARE * limits.write_rps;
  return {
    keyWidth: width,
    tasksPerChunk: tasks,
    maxMutations: limits.txn_ops,
    maxValueBytes: limits.value_kb * 1024,
    writesPerSecond: writeRate,
    writeBurst: Math.max(writeRate, limits.txn_ops),
  };
}

/** How the first versions write: their chunks are as wide as a value allows. */
export function initialLayout({ cluster: { state } }: PlatformSettings): RecordLayout {
  return layout(state, null, wholeBytes((state.value_kb * 1024) / BYTES_PER_TASK));
}

/**
 * How this version writes from the switch on. Records that are wide by the first version's
 * measure stay as they are where they will go on fitting. The width once written down only
 * shrinks, for a narrower record outranks a wider one.
 */
export function upgradedLayout(settings: PlatformSettings, { wide, tasks }: FormatRecord): RecordLayout {
  const limits = strictestLimits(settings);
  const least = Math.min(tasks, fittingTasks(limits));
  return least < wide ? layout(limits, least, least) : layout(limits, null, wide);
}

const fittingTasks = (limits: StoreLimits): number =>
  wholeBytes((limits.value_kb * 1024) / SMALL_BYTES_PER_TASK - 8);

/** What the format key is to say, given what it says. */
export function formatRecord(settings: PlatformSettings, known: FormatRecord | null): FormatRecord {
  const fitting = fittingTasks(strictestLimits(settings));
  if (known !== null) return { ...known, tasks: Math.min(known.tasks, fitting) };
  const wide = initialLayout(settings).tasksPerChunk;
  return { format: FORMAT, wide, tasks: Math.min(wide, fitting) };
}

export interface FormatUpgradeContext {
  readonly settings: PlatformSettings;
  readonly state: KeyValueStore;
  readonly clock: Clock;
  /** Time between two looks, in milliseconds. */
  readonly pollIntervalMs: number;
  /** The revision of the term while this node leads, else null. */
  termRevision(): number | null;
  /** Whether a controller that cannot read the format is heard now. */
  hearsEarlierVersion(): boolean;
  /** Called once, when the format is known to be in force. */
  onAdopted(record: FormatRecord): void;
}

export class FormatUpgrade {
  #record: FormatRecord | null = null;

  constructor(private readonly context: FormatUpgradeContext) {}

  /** The format in force, as far as this node knows; it never goes back. */
  get record(): FormatRecord | null {
    return this.#record;
  }

  async run(): Promise<void> {
    const { state, clock, settings, pollIntervalMs } = this.context;
    let declared = false;
    while (this.#record === null) {
      if (!declared) {
        const write = { put: versionKey(settings.host_name), value: { format: FORMAT } };
        declared = (await state.commit({ preconditions: [], mutations: [write] })).kind === 'applied';
      }
      if ((await this.refresh()) === null) await this.#switch();
      if (this.#record === null) await clock.sleep(pollIntervalMs);
    }
  }

  /** Reads whether the format is in force; null: not known to be. */
  async refresh(): Promise<FormatRecord | null> {
    if (this.#record !== null) return this.#record;
    const read = await this.context.state.read(FORMAT_KEY);
    if (read !== 'unknown' && read.entry !== null) this.#adopt(decodeFormat(read.entry.value));
    return this.#record;
  }

  #adopt(record: FormatRecord | null): void {
    if (record === null || record.format < FORMAT || this.#record !== null) return;
    this.#record = record;
    this.context.onAdopted(record);
  }

  /** As the leader, puts the format in force once all controllers have declared that they read it. */
  async #switch(): Promise<void> {
    const { state, settings, termRevision, hearsEarlierVersion } = this.context;
    const modRevision = termRevision();
    if (modRevision === null || hearsEarlierVersion()) return;
    const found = await state.list(VERSION_PREFIX);
    if (found === 'unknown') return;
    const able = new Set(
      found.entries.filter(({ value }) => (decodeFormat(value)?.format ?? 0) >= FORMAT).map(({ key }) => key),
    );
    const nodes = [settings.host_name, ...settings.others.map(({ host_name }) => host_name)];
    if (!nodes.every((node) => able.has(versionKey(node)))) return;
    const record = formatRecord(settings, null);
    const outcome = await state.commit({
      preconditions: [
        { key: TERM_KEY, modRevision },
        { key: FORMAT_KEY, modRevision: 0 },
      ],
      mutations: [{ put: FORMAT_KEY, value: record }],
    });
    // Without an answer the next look tells.
    if (outcome.kind === 'applied') this.#adopt(record);
  }
}
