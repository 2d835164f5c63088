/**
 * The message by which controllers agree up to which revision of the key-value store cancellations are respected: a
 * protobuf message in a field of the frames between controllers. Versions before it skip that field.
 */
import type protobuf from 'protobufjs/light.js';

/** What a controller asks for, promises and knows. Each revision only grows, so messages may be lost or reordered. */
export interface StartFenceMessage {
  /** Name of the sender's node. */
  readonly node: string;
  /** A committed revision; the receiver is asked to send no start on a view that does not cover it. 0: none. */
  readonly requested: number;
  /** The sender sends no start on a view that does not cover this revision. */
  readonly promised: number;
  /** No controller sends a start any more on a view that does not cover this revision. */
  readonly fenced: number;
  /** Followers that may still pass on starts that the sender gave them before its promise. */
  readonly forwarders: readonly string[];
}

/** Protobuf type of the message, nested in the same namespace as the types of the peers' status. */
export const START_FENCE_TYPES: Record<string, protobuf.IType> = {
  StartFence: {
    fields: {
      node: { type: 'string', id: 1 },
      requested: { type: 'double', id: 2 },
      promised: { type: 'double', id: 3 },
      fenced: { type: 'double', id: 4 },
      forwarders: { rule: 'repeated', type: 'string', id: 5 },
    },
  },
};
