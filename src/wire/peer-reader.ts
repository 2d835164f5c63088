/** Reads the stream of frames that a controller sends, and joins messages that were sent in several frames. */
import { LINK_STATES, type LinkState, type Observation } from '../membership/status.js';
import { intakeFromWire, type IntakeMessage, type WireIntake } from './intake.js';
import {
  frameType,
  MAX_CONTINUATIONS,
  MAX_FRAME_BYTES,
  type Continuation,
  type PeerStatus,
} from './peers.js';
import type { StartFenceMessage } from './start-fence.js';

type WireObservation = Omit<Observation, 'linkState'> & { readonly linkState: number };
type WireStatus = Omit<PeerStatus, 'observations'> & {
  readonly observations: readonly WireObservation[];
  readonly intake: WireIntake | null;
  readonly continuation: Continuation | null;
  readonly continuations: number;
  readonly startFence: StartFenceMessage | null;
};

/** A message whose continuation frames have not all arrived yet. */
interface PartialMessage {
  remaining: number;
  readonly received: Continuation[];
  /** Called with the joined continuations once all of them have arrived. */
  complete(rest: Continuation): void;
}

/** Joins the lists of several continuation frames, in their order; the confirmation time is that of the last. */
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

/** Splits a stream into messages; throws on malformed or oversized frames. */
export class PeerMessageReader {
  #buffer: Uint8Array = new Uint8Array(0);
  #partial: PartialMessage | null = null;
  /** Complete statuses that `push` has not returned yet. */
  readonly #statuses: PeerStatus[] = [];

  constructor(
    /** Called with each message about shared heartbeats. */
    private readonly onIntake: (message: IntakeMessage) => void = () => undefined,
    /** Called with each message about the start fence. */
    private readonly onStartFence: (message: StartFenceMessage) => void = () => undefined,
  ) {}

  push(chunk: Uint8Array): PeerStatus[] {
    this.#buffer = this.#buffer.length === 0 ? chunk : Buffer.concat([this.#buffer, chunk]);
    for (;;) {
      const frame = this.#nextFrame();
      if (frame === null) return this.#statuses.splice(0);
      const message = frameType.decode(frame);
      const decoded = frameType.toObject(message, { defaults: true, arrays: true }) as WireStatus;
      const { intake, continuation, continuations, startFence, ...wire } = decoded;
      if (startFence !== null) {
        this.onStartFence(startFence);
        continue;
      }
      if (continuation !== null) {
        this.#addContinuation(continuation);
        continue;
      }
      if (continuations > MAX_CONTINUATIONS)
        throw new RangeError(
          `too many frames: ${continuations} continuations, the limit is ${MAX_CONTINUATIONS}`,
        );
      if (intake !== null) {
        const first = intakeFromWire(intake);
        this.#startMessage(continuations, (rest) =>
          this.onIntake(rest === null ? first : joinIntake(first, rest)),
        );
      } else {
        const first = { ...wire, observations: wire.observations.map(decodeObservation) };
        this.#startMessage(continuations, (rest) =>
          this.#statuses.push(rest === null ? first : joinStatus(first, rest)),
        );
      }
    }
  }

  /** Handles the first frame of a message, which completes the message unless continuations follow. */
  #startMessage(continuations: number, complete: (rest: Continuation | null) => void): void {
    this.#partial = null;
    if (continuations === 0) complete(null);
    else this.#partial = { remaining: continuations, received: [], complete };
  }

  #addContinuation(continuation: Continuation): void {
    const partial = this.#partial;
    if (partial === null) return;
    partial.received.push(continuation);
    partial.remaining -= 1;
    if (partial.remaining > 0) return;
    this.#partial = null;
    partial.complete(joinContinuations(partial.received));
  }

  #nextFrame(): Uint8Array | null {
    let length = 0;
    for (let at = 0; at < this.#buffer.length; at += 1) {
      const byte = this.#buffer[at] ?? 0;
      length += (byte & 0x7f) * 2 ** (7 * at);
      if (length > MAX_FRAME_BYTES || at > 3)
        throw new RangeError(
          `oversized frame: a length prefix of ${at + 1} bytes announces ${length} bytes or more; limits: 4 and ${MAX_FRAME_BYTES}`,
        );
      if ((byte & 0x80) !== 0) continue;
      const end = at + 1 + length;
      if (this.#buffer.length < end) return null;
      const frame = this.#buffer.subarray(at + 1, end);
      this.#buffer = this.#buffer.subarray(end);
      return frame;
    }
    return null;
  }
}
