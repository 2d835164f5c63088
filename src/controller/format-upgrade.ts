/**
 * Rolling upgrade of the stored format. Each controller declares in the key-value store which format it reads;
 * once every configured controller has done so, the leader writes the format record, which is never removed. From
 * then on records may be written that earlier versions would misread, and the store's announced limits are kept.
 * Until then all records are written as earlier versions write them.
 */
import type { Clock } from '../adapters/clock.js';
import type { KeyValueStore } from '../adapters/key-value-store.js';
import { formatRecord } from '../config/record-layout.js';
import type { PlatformSettings } from '../config/settings.js';
import {
  decodeFormat,
  FORMAT,
  FORMAT_KEY,
  type FormatRecord,
  TERM_KEY,
  VERSION_PREFIX,
  versionKey,
} from '../core/persistence/index.js';

/** What the upgrade needs from its controller. */
export interface FormatUpgradeContext {
  readonly settings: PlatformSettings;
  readonly store: KeyValueStore;
  readonly clock: Clock;
  /** Time between two reads of the format record, in milliseconds. */
  readonly pollIntervalMs: number;
  /** Revision of the term record while this node leads, else `null`. */
  readonly termRevision: () => number | null;
  /** Whether a controller that cannot read the format sends status messages now. */
  readonly hasEarlierVersionPeer: () => boolean;
  /** Called once, when the format is known to be in force. */
  onAdopted(record: FormatRecord): void;
}

/** Declares this node's format, follows the format record, and writes it as the leader. */
export class FormatUpgrade {
  #record: FormatRecord | null = null;

  constructor(private readonly context: FormatUpgradeContext) {}

  /** The format in force, as far as this node knows; `null`: none yet. Never reverts to `null`. */
  get record(): FormatRecord | null {
    return this.#record;
  }

  /** Polls until the format is in force. Unanswered requests are repeated at the next poll. */
  async run(): Promise<void> {
    const { clock, pollIntervalMs } = this.context;
    let isDeclared = false;
    while (this.#record === null) {
      if (!isDeclared) isDeclared = await this.#declareVersion();
      if ((await this.refresh()) === null) await this.#activate();
      if (this.#record === null) await clock.sleep(pollIntervalMs);
    }
  }

  /** Reads the format record; `null`: not known to be in force, also if the store does not answer. */
  async refresh(): Promise<FormatRecord | null> {
    if (this.#record !== null) return this.#record;
    const read = await this.context.store.read(FORMAT_KEY);
    if (read !== 'unknown' && read.entry !== null) this.#adopt(decodeFormat(read.entry.value));
    return this.#record;
  }

  /** Writes which format this node reads; false: the write is not confirmed. */
  async #declareVersion(): Promise<boolean> {
    const { store, settings } = this.context;
    const mutation = { put: versionKey(settings.host_name), value: { format: FORMAT } };
    const outcome = await store.commit({ preconditions: [], mutations: [mutation] });
    return outcome.kind === 'applied';
  }

  #adopt(record: FormatRecord | null): void {
    if (record === null || record.format < FORMAT || this.#record !== null) return;
    this.#record = record;
    this.context.onAdopted(record);
  }

  /** As the leader, writes the format record once every controller has declared that it reads it. */
  async #activate(): Promise<void> {
    const { store, settings, termRevision, hasEarlierVersionPeer } = this.context;
    const modRevision = termRevision();
    if (modRevision === null || hasEarlierVersionPeer()) return;
    if (!(await this.#everyControllerReadsFormat())) return;
    const record = formatRecord(settings, null);
    const outcome = await store.commit({
      preconditions: [
        { key: TERM_KEY, modRevision },
        { key: FORMAT_KEY, modRevision: 0 },
      ],
      mutations: [{ put: FORMAT_KEY, value: record }],
    });
    // An unanswered write that was executed is found by the next poll.
    if (outcome.kind === 'applied') this.#adopt(record);
  }

  async #everyControllerReadsFormat(): Promise<boolean> {
    const { store, settings } = this.context;
    const declared = await store.list(VERSION_PREFIX);
    if (declared === 'unknown') return false;
    const capable = new Set(
      declared.entries
        .filter(({ value }) => (decodeFormat(value)?.format ?? 0) >= FORMAT)
        .map(({ key }) => key),
    );
    const nodes = [settings.host_name, ...settings.others.map(({ host_name }) => host_name)];
    return nodes.every((node) => capable.has(versionKey(node)));
  }
}
