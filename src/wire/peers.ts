/**
 * Messages between controllers, as they are sent: length-delimited protobuf frames. A message that is too large for one
 * frame is sent in several: the first is an ordinary message with a part of the lists, and states how many
 * continuations follow.
 */
import protobuf from 'protobufjs/light.js';
import { LINK_STATES, type MemberStatus } from '../membership/status.js';
import {
  answersBytes,
  INTAKE_TYPES,
  intakeToWire,
  type AnswersMessage,
  type IntakeMessage,
  type HeartbeatsMessage,
} from './intake.js';
import { nameBytes, portionsOf } from './portions.js';
import { START_FENCE_TYPES, type StartFenceMessage } from './start-fence.js';

/** Progress of a job's tasks, sent by the leader so that every controller can answer polls of the job. */
export interface JobCount {
  readonly id: string;
  readonly done: number;
  readonly running: number;
  /** Why its tasks wait: the index in `WAIT_REASONS` plus one; 0: no task waits, or the reason is unknown. */
  readonly why: number;
}

/** The status message between controllers. */
export interface PeerStatus extends MemberStatus {
  readonly counts: readonly JobCount[];
  /** The record format that the sender can read; 0: a version without this field, which reads format 1. */
  readonly format: number;
  /**
   * Time up to which every cancellation has reached all dependent jobs, in milliseconds since the Unix epoch; 0: not
   * known, or the sender does not lead.
   */
  readonly dependenciesResolvedUntil: number;
  /** Zones from which the leader receives no heartbeats, and for how long, as far as the sender knows. */
  readonly silentZones: readonly SilentZone[];
  /** Machines whose heartbeats the sender answers in the leader's place. */
  readonly relayedMachines: readonly string[];
  /**
   * Time of the read that confirmed the leader's view of cancellations, in milliseconds since the Unix epoch; 0: not
   * confirmed, or the counts do not list every live job.
   */
  readonly viewConfirmedAt: number;
  /** Whether the sender accepts heartbeats for its leader; versions before heartbeat sharing omit this field. */
  readonly acceptsHeartbeats: boolean;
}

/** A zone from which no heartbeats arrive, and for how long. */
export interface SilentZone {
  readonly zone: string;
  readonly silentMs: number;
}

const root = protobuf.Root.fromJSON({
  nested: {
    ...INTAKE_TYPES,
    ...START_FENCE_TYPES,
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
        // Confirms the complete lists. The first frame's own `viewConfirmedAt` is 0, so that no receiver answers
        // workers from a part of them.
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
        // Versions before DAG dependencies omit these fields when sending and skip them when reading.
        format: { type: 'uint32', id: 7 },
        dependenciesResolvedUntil: { type: 'double', id: 8 },
        silentZones: { rule: 'repeated', type: 'SilentZone', id: 9 },
        relayedMachines: { rule: 'repeated', type: 'string', id: 10 },
        viewConfirmedAt: { type: 'double', id: 11 },
        // Versions before failure detection omit these fields: such a peer cannot confirm a crash.
        timerLagMs: { type: 'uint32', id: 12 },
        observations: { rule: 'repeated', type: 'Observation', id: 13 },
        unexpectedReports: { type: 'uint32', id: 14 },
        reporting: { type: 'uint32', id: 15 },
        expected: { type: 'uint32', id: 16 },
        probeRequests: { rule: 'repeated', type: 'string', id: 17 },
        probeRound: { type: 'uint32', id: 18 },
        reachable: { type: 'uint32', id: 19 },
        unreachable: { type: 'uint32', id: 20 },
        // Versions before heartbeat sharing omit these fields. A frame with an intake message has an empty node
        // name, so that they ignore it.
        acceptsHeartbeats: { type: 'bool', id: 21 },
        intake: { type: 'Intake', id: 22 },
        // Versions before portions omit these fields. A continuation frame has an empty node name, so that they
        // ignore it.
        continuation: { type: 'Continuation', id: 23 },
        continuations: { type: 'uint32', id: 24 },
        // Versions before the start fence omit this field. Its frame has an empty node name, so that they ignore it.
        startFence: { type: 'StartFence', id: 25 },
      },
    },
  },
});
/** The protobuf type of every frame between controllers. */
export const frameType = root.lookupType('PeerStatus');

/** The largest frame that a peer may send, in bytes. */
export const MAX_FRAME_BYTES = 64 * 1024;
/** A message whose lists are no longer than this is sent in one frame, if that frame is not too large. */
const MAX_COUNTS_IN_FRAME = 1000;
const MAX_RELAYED_IN_FRAME = 2000;
const MAX_ATTENTION_IN_FRAME = 3000;
/** Maximum number of continuations of a message, a bound on malformed input; 64,000 machine names take about 90. */
export const MAX_CONTINUATIONS = 512;

/** The part of a message that continuation frames carry. */
export interface Continuation {
  readonly counts: readonly JobCount[];
  readonly relayedMachines: readonly string[];
  readonly attention: readonly string[];
  readonly viewConfirmedAt: number;
}

const encodeFrame = (fields: object): Uint8Array => frameType.encodeDelimited(fields).finish();

/** Upper bound of the bytes that a job's count takes besides the id: its numbers and the field tags. */
const COUNT_OVERHEAD_BYTES = 28;
const countBytes = ({ id }: JobCount): number => Buffer.byteLength(id) + COUNT_OVERHEAD_BYTES;

type PortionedLists = Omit<Continuation, 'viewConfirmedAt'>;
const NO_LISTS: PortionedLists = { counts: [], relayedMachines: [], attention: [] };

/**
 * Encodes a message in several frames: one by `encodeFirst` with the first portion, continuations with the others.
 * `usedBytes`: what the first frame carries besides the portion.
 */
function encodePortions(
  lists: Partial<PortionedLists>,
  viewConfirmedAt: number,
  encodeFirst: (portion: PortionedLists, viewConfirmedAt: number, continuations: number) => object,
  usedBytes = 0,
): Uint8Array {
  const portions: PortionedLists[] = [
    ...portionsOf(lists.counts ?? [], countBytes).map((counts) => ({ ...NO_LISTS, counts })),
    ...portionsOf(lists.relayedMachines ?? [], nameBytes).map((relayedMachines) => ({
      ...NO_LISTS,
      relayedMachines,
    })),
    ...portionsOf(lists.attention ?? [], nameBytes, usedBytes).map((attention) => ({
      ...NO_LISTS,
      attention,
    })),
  ];
  const [firstPortion = NO_LISTS, ...rest] = portions;
  const otherPortions = rest.slice(0, MAX_CONTINUATIONS);
  // Without a confirmation time no receiver answers workers from incomplete lists.
  const confirmedAt = otherPortions.length === rest.length ? viewConfirmedAt : 0;
  const continuationFrames = otherPortions.map((portion) =>
    encodeFrame({ node: '', continuation: { ...portion, viewConfirmedAt: confirmedAt } }),
  );
  return Buffer.concat([
    encodeFrame(
      encodeFirst(firstPortion, otherPortions.length === 0 ? viewConfirmedAt : 0, otherPortions.length),
    ),
    ...continuationFrames,
  ]);
}

/** Encodes a status in one frame, or in several if the fleet is large. */
export function encodeStatus(status: PeerStatus): Uint8Array {
  const observations = status.observations.map((observation) => ({
    ...observation,
    linkState: LINK_STATES.indexOf(observation.linkState),
  }));
  const { counts, relayedMachines, viewConfirmedAt } = status;
  if (counts.length <= MAX_COUNTS_IN_FRAME && relayedMachines.length <= MAX_RELAYED_IN_FRAME) {
    const frame = encodeFrame({ ...status, observations });
    if (frame.length <= MAX_FRAME_BYTES) return frame;
  }
  return encodePortions(
    { counts, relayedMachines },
    viewConfirmedAt,
    (portion, confirmedAt, continuations) => ({
      ...status,
      observations,
      counts: portion.counts,
      relayedMachines: portion.relayedMachines,
      viewConfirmedAt: confirmedAt,
      continuations,
    }),
  );
}

/** Encodes a message about shared heartbeats in frames without a status: one, or several if the fleet is large. */
export function encodeIntake(message: IntakeMessage): Uint8Array {
  if (message.kind === 'answers' && message.attention.length > MAX_ATTENTION_IN_FRAME)
    return encodeSnapshot(message);
  const frame = encodeFrame({ node: '', intake: intakeToWire(message) });
  if (frame.length <= MAX_FRAME_BYTES) return frame;
  return message.kind === 'answers' ? encodeSnapshot(message) : encodeHeartbeats(message, frame);
}

/** Encodes a message about the start fence in a frame of its own. */
export function encodeStartFence(message: StartFenceMessage): Uint8Array {
  return encodeFrame({ node: '', startFence: message });
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
    answersBytes(message.answers),
  );
}

/**
 * Splits a message that is too large for one frame into halves. Heartbeats are handled one by one, so each half is a
 * complete message.
 */
function encodeHeartbeats(message: HeartbeatsMessage, frame: Uint8Array): Uint8Array {
  const { heartbeats, keepalives } = message;
  if (heartbeats.length + keepalives.length < 2) return frame;
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
