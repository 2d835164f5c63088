/**
 * What controllers tell one another: length-delimited protobuf messages. What is too large for one frame
 * goes in several: the first is a message as ever, with a part of the lists, and says how many follow.
 */
import protobuf from 'protobufjs/light.js';
import { LINK_STATES, type LinkState, type Observation, type MemberStatus } from '../membership/status.js';
import {
  INTAKE_TYPES,
  intakeFromWire,
  intakeToWire,
  type AnswersMessage,
  type IntakeMessage,
  type HeartbeatsMessage,
  type WireIntake,
} from './intake.js';
import { nameBytes, portionsOf } from './portions.js';

/** Progress of a job's tasks, for the job's status page on any controller. */
export interface JobCount {
  readonly id: string;
  readonly done: number;
  readonly running: number;
  /** Why its tasks wait: one more than the place among the reasons; 0: none does, or nobody says. */
  readonly why: number;
}

/** The status message between controllers. */
export interface PeerStatus extends MemberStatus {
  readonly counts: readonly JobCount[];
  /** The format that it can read; 0: a version that does not say, which reads format 1. */
  readonly format: number;
  /**
   * Epoch milliseconds up to which every cancellation has reached all dependent jobs, as a
   * leader knows; 0: unknown.
   */
  readonly dependenciesResolvedUntil: number;
  /** Zones from which the leader gets no heartbeat, and for how long, as far as this node knows. */
  readonly silentZones: readonly SilentZone[];
  /** Machines that this node answers in the leader's place. */
  readonly relayedMachines: readonly string[];
  /**
   * Epoch milliseconds of the read that confirmed the leader's view of cancellations;
   * 0: none, or the counts do not list every live job.
   */
  readonly viewConfirmedAt: number;
  /** It accepts heartbeats for the leader that it follows; versions before shared heartbeats leave this out. */
  readonly acceptsHeartbeats: boolean;
}

/** A zone from which no heartbeat comes, and for how long. */
export interface SilentZone {
  readonly zone: string;
  readonly silentMs: number;
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
    SilentZone: {
      fields: {
        zone: { type: 'string', id: 1 },
        silentMs: { type: 'uint32', id: 2 },
      },
    },
    Observation: {
      fields: {
        node: { type: 'string', id: 1 },
        ageMs: { type: 'uint32', id: 2 },
        linkState: { type: 'uint32', id: 3 },
      },
    },
    Continuation: {
      fields: {
        counts: { rule: 'repeated', type: 'JobCount', id: 1 },
        relayedMachines: { rule: 'repeated', type: 'string', id: 2 },
        attention: { rule: 'repeated', type: 'string', id: 3 },
        // The proof of the whole; the first frame has none, so that nobody answers by a part.
        viewConfirmedAt: { type: 'double', id: 4 },
      },
    },
    PeerStatus: {
      fields: {
        node: { type: 'string', id: 1 },
        incarnation: { type: 'string', id: 2 },
        term: { type: 'double', id: 3 },
        isLeader: { type: 'bool', id: 4 },
        storeContactAgeMs: { type: 'uint32', id: 5 },
        counts: { rule: 'repeated', type: 'JobCount', id: 6 },
        // Versions before dependencies leave these out, and skip them.
        format: { type: 'uint32', id: 7 },
        dependenciesResolvedUntil: { type: 'double', id: 8 },
        silentZones: { rule: 'repeated', type: 'SilentZone', id: 9 },
        relayedMachines: { rule: 'repeated', type: 'string', id: 10 },
        viewConfirmedAt: { type: 'double', id: 11 },
        // Versions before failure detection leave these out: such a peer confirms no crash.
        timerLagMs: { type: 'uint32', id: 12 },
        observations: { rule: 'repeated', type: 'Observation', id: 13 },
        unexpectedReports: { type: 'uint32', id: 14 },
        reporting: { type: 'uint32', id: 15 },
        expected: { type: 'uint32', id: 16 },
        probeRequests: { rule: 'repeated', type: 'string', id: 17 },
        probeRound: { type: 'uint32', id: 18 },
        reachable: { type: 'uint32', id: 19 },
        unreachable: { type: 'uint32', id: 20 },
        // Versions before shared heartbeats leave these out. A frame that carries an intake message names no
        // node, so that they pass it over.
        acceptsHeartbeats: { type: 'bool', id: 21 },
        intake: { type: 'Intake', id: 22 },
        // Versions before portions leave these out. A frame that continues another names no node, so that
        // they pass it over.
        continuation: { type: 'Continuation', id: 23 },
        continuations: { type: 'uint32', id: 24 },
      },
    },
  },
});
const statusType = root.lookupType('PeerStatus');

/** The largest frame that a peer may send, in bytes. */
export const MAX_FRAME_BYTES = 64 * 1024;
/** Lists up to so long go in one frame if that is not too large. */
const MAX_COUNTS_IN_FRAME = 1000;
const MAX_RELAYED_IN_FRAME = 2000;
const MAX_ATTENTION_IN_FRAME = 3000;
/** Frames that continue one message. A bound on bad input: the names of 64,000 machines take some 90. */
const MAX_CONTINUATIONS = 512;

/** What frames that continue a message carry of it. */
interface Continuation {
  readonly counts: readonly JobCount[];
  readonly relayedMachines: readonly string[];
  readonly attention: readonly string[];
  readonly viewConfirmedAt: number;
}

const encodeFrame = (fields: object): Uint8Array => statusType.encodeDelimited(fields).finish();

/** Bytes that the numbers of a job's count and its tags take, at most. */
const COUNT_OVERHEAD_BYTES = 28;
const countBytes = ({ id }: JobCount): number => Buffer.byteLength(id) + COUNT_OVERHEAD_BYTES;

type Lists = Omit<Continuation, 'viewConfirmedAt'>;
const NO_LISTS: Lists = { counts: [], relayedMachines: [], attention: [] };

/** The first frame, which has the first portion of the lists in it, and those that continue it with the others. */
function encodePortions(
  lists: Partial<Lists>,
  viewConfirmedAt: number,
  first: (portion: Lists, viewConfirmedAt: number, continuations: number) => object,
): Uint8Array {
  const portions: Lists[] = [
    ...portionsOf(lists.counts ?? [], countBytes).map((counts) => ({ ...NO_LISTS, counts })),
    ...portionsOf(lists.relayedMachines ?? [], nameBytes).map((relayedMachines) => ({
      ...NO_LISTS,
      relayedMachines,
    })),
    ...portionsOf(lists.attention ?? [], nameBytes).map((attention) => ({ ...NO_LISTS, attention })),
  ];
  const [begin = NO_LISTS, ...rest] = portions;
  const sent = rest.slice(0, MAX_CONTINUATIONS);
  // Nobody may answer by a part of the lists.
  const proof = sent.length === rest.length ? viewConfirmedAt : 0;
  const frames = sent.map((portion) =>
    encodeFrame({ node: '', continuation: { ...portion, viewConfirmedAt: proof } }),
  );
  return Buffer.concat([
    encodeFrame(first(begin, sent.length === 0 ? viewConfirmedAt : 0, sent.length)),
    ...frames,
  ]);
}

/** The frames of a status: one, or of a large fleet several. */
export function encodeStatus(status: PeerStatus): Uint8Array {
  const observations = status.observations.map((one) => ({
    ...one,
    linkState: LINK_STATES.indexOf(one.linkState),
  }));
  const { counts, relayedMachines, viewConfirmedAt } = status;
  if (counts.length <= MAX_COUNTS_IN_FRAME && relayedMachines.length <= MAX_RELAYED_IN_FRAME) {
    const frame = encodeFrame({ ...status, observations });
    if (frame.length <= MAX_FRAME_BYTES) return frame;
  }
  return encodePortions({ counts, relayedMachines }, viewConfirmedAt, (portion, proof, continuations) => ({
    ...status,
    observations,
    counts: portion.counts,
    relayedMachines: portion.relayedMachines,
    viewConfirmedAt: proof,
    continuations,
  }));
}

/** The frames that carry a message about shared heartbeats, and no status: one, or of a large fleet several. */
export function encodeIntake(message: IntakeMessage): Uint8Array {
  if (message.kind === 'answers' && message.attention.length > MAX_ATTENTION_IN_FRAME)
    return encodeSnapshot(message);
  const frame = encodeFrame({ node: '', intake: intakeToWire(message) });
  if (frame.length <= MAX_FRAME_BYTES) return frame;
  return message.kind === 'answers' ? encodeSnapshot(message) : encodeHeartbeats(message, frame);
}

function encodeSnapshot(message: AnswersMessage): Uint8Array {
  return encodePortions(
    { attention: message.attention },
    message.viewConfirmedAt,
    ({ attention }, viewConfirmedAt, continuations) => ({
      node: '',
      intake: intakeToWire({ ...message, attention, viewConfirmedAt }),
      continuations,
    }),
  );
}

/** Heartbeats are taken one by one, so that halves of a message are messages by themselves. */
function encodeHeartbeats(message: HeartbeatsMessage, whole: Uint8Array): Uint8Array {
  const { heartbeats, keepalives } = message;
  if (heartbeats.length + keepalives.length < 2) return whole;
  const half = <T>(items: readonly T[]): [readonly T[], readonly T[]] => {
    const middle = Math.ceil(items.length / 2);
    return [items.slice(0, middle), items.slice(middle)];
  };
  const [firstHeartbeats, otherHeartbeats] = half(heartbeats);
  const [firstKeepalives, otherKeepalives] = half(keepalives);
  return Buffer.concat([
    encodeIntake({ ...message, heartbeats: firstHeartbeats, keepalives: otherKeepalives }),
    encodeIntake({ ...message, heartbeats: otherHeartbeats, keepalives: firstKeepalives }),
  ]);
}

type WireObservation = Omit<Observation, 'linkState'> & { readonly linkState: number };
type WireStatus = Omit<PeerStatus, 'observations'> & {
  readonly observations: readonly WireObservation[];
  readonly intake: WireIntake | null;
  readonly continuation: Continuation | null;
  readonly continuations: number;
};

/** A message of which frames are still to come. */
interface PartialMessage {
  remaining: number;
  readonly received: Continuation[];
  /** Takes the whole of it. */
  complete(rest: Continuation): void;
}

/** What several frames have of the lists, one after the other. */
const joinContinuations = (received: readonly Continuation[]): Continuation => ({
  counts: received.flatMap(({ counts }) => counts),
  relayedMachines: received.flatMap(({ relayedMachines }) => relayedMachines),
  attention: received.flatMap(({ attention }) => attention),
  viewConfirmedAt: received.at(-1)?.viewConfirmedAt ?? 0,
});

const decodeObservation = ({ node, ageMs, linkState }: WireObservation): Observation => ({
  node,
  ageMs,
  linkState: LINK_STATES[linkState] ?? ('silent' satisfies LinkState),
});

const joinStatus = (
  first: PeerStatus,
  { counts, relayedMachines, viewConfirmedAt }: Continuation,
): PeerStatus => ({
  ...first,
  counts: [...first.counts, ...counts],
  relayedMachines: [...first.relayedMachines, ...relayedMachines],
  viewConfirmedAt,
});

const joinIntake = (first: IntakeMessage, { attention, viewConfirmedAt }: Continuation): IntakeMessage =>
  first.kind === 'answers'
    ? { ...first, attention: [...first.attention, ...attention], viewConfirmedAt }
    : first;

/** Splits a stream into messages; throws on garbage or an oversized frame. */
export class StatusReader {
  #rest: Uint8Array = new Uint8Array(0);
  #partial: PartialMessage | null = null;
  /** Statuses that are whole. */
  readonly #found: PeerStatus[] = [];

  constructor(
    /** Takes the messages about shared heartbeats. */
    private readonly onIntake: (message: IntakeMessage) => void = () => undefined,
  ) {}

  push(part: Uint8Array): PeerStatus[] {
    this.#rest = this.#rest.length === 0 ? part : Buffer.concat([this.#rest, part]);
    for (;;) {
      const frame = this.#frame();
      if (frame === null) return this.#found.splice(0);
      const message = statusType.decode(frame);
      const decoded = statusType.toObject(message, { defaults: true, arrays: true }) as WireStatus;
      const { intake, continuation, continuations, ...wire } = decoded;
      if (continuation !== null) {
        this.#continue(continuation);
        continue;
      }
      if (continuations > MAX_CONTINUATIONS) throw new RangeError('message of too many frames');
      if (intake !== null) {
        const first = intakeFromWire(intake);
        this.#begin(continuations, (rest) => this.onIntake(rest === null ? first : joinIntake(first, rest)));
      } else {
        const first = { ...wire, observations: wire.observations.map(decodeObservation) };
        this.#begin(continuations, (rest) =>
          this.#found.push(rest === null ? first : joinStatus(first, rest)),
        );
      }
    }
  }

  /** Takes the first frame of a message, which is the whole of it but for what large fleets say. */
  #begin(continuations: number, complete: (rest: Continuation | null) => void): void {
    this.#partial = null;
    if (continuations === 0) complete(null);
    else this.#partial = { remaining: continuations, received: [], complete };
  }

  #continue(continuation: Continuation): void {
    const partial = this.#partial;
    if (partial === null) return;
    partial.received.push(continuation);
    partial.remaining -= 1;
    if (partial.remaining > 0) return;
    this.#partial = null;
    partial.complete(joinContinuations(partial.received));
  }

  #frame(): Uint8Array | null {
    let length = 0;
    for (let at = 0; at < this.#rest.length; at += 1) {
      const byte = this.#rest[at] ?? 0;
      length += (byte & 0x7f) * 2 ** (7 * at);
      if (length > MAX_FRAME_BYTES || at > 3) throw new RangeError('oversized frame');
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
