/** What controllers tell one another: length-delimited protobuf messages. */
import protobuf from 'protobufjs/light.js';
import { INTAKE_TYPES, intakeFromWire, intakeToWire, type IntakeMessage, type WireIntake } from './intake.js';
import { LINKS, type Link, type Sight, type View } from '../membership/views.js';

export interface JobCount {
  readonly id: string;
  readonly done: number;
  readonly running: number;
  /** Why its tasks wait: one more than the place among the reasons; 0: none does, or nobody says. */
  readonly why: number;
}

/** What a controller sees of the others, beside all else that it tells them. */
export interface PeerStatus extends View {
  readonly counts: readonly JobCount[];
  /** The format that it can read; 0: a version that does not say, which reads format 1. */
  readonly format: number;
  /**
   * Time of day, in milliseconds, up to which every cancellation has gone through its
   * pipeline, as a leader knows; 0: unknown.
   */
  readonly settledAt: number;
  /** Zones of which the leader hears nobody, and for how long; as far as this node knows. */
  readonly quiet: readonly QuietZone[];
  /** Machines that this node answers in the leader's place; bounded. */
  readonly hears: readonly string[];
  /**
   * Time of day, in milliseconds, of the read that proved what the leader knows of cancellations;
   * 0: none, or the counts do not list every live job.
   */
  readonly provenAt: number;
  /** It takes reports for the leader that it follows; versions before shared reports say nothing. */
  readonly takesReports: boolean;
}

export interface QuietZone {
  readonly zone: string;
  readonly ageMs: number;
}

const root = protobuf.Root.fromJSON({
  nested: {
    ...INTAKE_TYPES,
    JobCount: {
      fields: {
        id: { type: 'string', id: 1 },
        done: { type: 'uint32', id: 2 },
        running: { type: 'uint32', id: 3 },
        why: { type: 'uint32', id: 4 },
      },
    },
    QuietZone: {
      fields: {
        zone: { type: 'string', id: 1 },
        ageMs: { type: 'uint32', id: 2 },
      },
    },
    Sight: {
      fields: {
        node: { type: 'string', id: 1 },
        ageMs: { type: 'uint32', id: 2 },
        link: { type: 'uint32', id: 3 },
      },
    },
    PeerStatus: {
      fields: {
        node: { type: 'string', id: 1 },
        incarnation: { type: 'string', id: 2 },
        term: { type: 'double', id: 3 },
        leading: { type: 'bool', id: 4 },
        stateAgeMs: { type: 'uint32', id: 5 },
        counts: { rule: 'repeated', type: 'JobCount', id: 6 },
        // Versions before pipelines leave these out, and skip them.
        format: { type: 'uint32', id: 7 },
        settledAt: { type: 'double', id: 8 },
        quiet: { rule: 'repeated', type: 'QuietZone', id: 9 },
        hears: { rule: 'repeated', type: 'string', id: 10 },
        provenAt: { type: 'double', id: 11 },
        // Versions before suspicion leave these out: such a peer vouches for nobody's end.
        lateMs: { type: 'uint32', id: 12 },
        sees: { rule: 'repeated', type: 'Sight', id: 13 },
        strays: { type: 'uint32', id: 14 },
        heard: { type: 'uint32', id: 15 },
        expected: { type: 'uint32', id: 16 },
        asks: { rule: 'repeated', type: 'string', id: 17 },
        round: { type: 'uint32', id: 18 },
        met: { type: 'uint32', id: 19 },
        unmet: { type: 'uint32', id: 20 },
        // Versions before shared reports leave these out. A frame that carries an intake message names no
        // node, so that they pass it over.
        takesReports: { type: 'bool', id: 21 },
        intake: { type: 'Intake', id: 22 },
      },
    },
  },
});
const statusType = root.lookupType('PeerStatus');

/** The largest message a peer may send. */
export const MOST_FRAME = 64 * 1024;

export function encodeStatus(status: PeerStatus): Uint8Array {
  const sees = status.sees.map((sight) => ({ ...sight, link: LINKS.indexOf(sight.link) }));
  return statusType.encodeDelimited({ ...status, sees }).finish();
}

/** A frame that carries a message about shared reports, and no status. */
export function encodeIntake(message: IntakeMessage): Uint8Array {
  return statusType.encodeDelimited({ node: '', intake: intakeToWire(message) }).finish();
}

type WireSight = Omit<Sight, 'link'> & { readonly link: number };
type WireStatus = Omit<PeerStatus, 'sees'> & {
  readonly sees: readonly WireSight[];
  readonly intake: WireIntake | null;
};

const decodeSight = ({ node, ageMs, link }: WireSight): Sight => ({
  node,
  ageMs,
  link: LINKS[link] ?? ('silent' satisfies Link),
});

/** Splits a stream into messages; throws on garbage or an oversized frame. */
export class StatusReader {
  #rest: Uint8Array = new Uint8Array(0);

  constructor(
    /** Takes the messages about shared reports. */
    private readonly onIntake: (message: IntakeMessage) => void = () => undefined,
  ) {}

  push(part: Uint8Array): PeerStatus[] {
    this.#rest = this.#rest.length === 0 ? part : Buffer.concat([this.#rest, part]);
    const found: PeerStatus[] = [];
    for (;;) {
      const frame = this.#frame();
      if (frame === null) return found;
      const message = statusType.decode(frame);
      const decoded = statusType.toObject(message, { defaults: true, arrays: true }) as WireStatus;
      const { intake, ...status } = decoded;
      if (intake !== null) this.onIntake(intakeFromWire(intake));
      else found.push({ ...status, sees: status.sees.map(decodeSight) });
    }
  }

  #frame(): Uint8Array | null {
    let length = 0;
    for (let at = 0; at < this.#rest.length; at += 1) {
      const byte = this.#rest[at] ?? 0;
      length += (byte & 0x7f) * 2 ** (7 * at);
      if (length > MOST_FRAME || at > 3) throw new RangeError('oversized frame');
      if ((byte & 0x80) !== 0) continue;
      const end = at + 1 + length;
      if (this.#rest.length < end) return null;
      const frame = this.#rest.subarray(at + 1, end);
      this.#rest = this.#rest.subarray(end);
      return frame;
    }
    return null;
  }
}
