/** Messages between controllers for tests, and the status message as the version `production` declares it. */
import protobuf from 'protobufjs/light.js';
import type { AnswersMessage } from '../../src/wire/intake.js';
import { TERM } from './core-harness.js';

/** A snapshot of a leader that lists no machine. */
export const EMPTY_SNAPSHOT: AnswersMessage = {
  kind: 'answers',
  node: 'n-0',
  incarnation: 'x',
  term: TERM,
  sentAt: 5,
  number: 3,
  answers: [],
  addressee: '',
  attention: [],
  isSnapshot: true,
  isSharing: true,
  viewConfirmedAt: 4,
  redirect: null,
};

/** The status message of `production`; its decoder skips unknown fields. */
export const PRODUCTION_STATUS = protobuf.Root.fromJSON({
  nested: {
    JobCount: { fields: { id: { type: 'string', id: 1 }, done: { type: 'uint32', id: 2 } } },
    PeerStatus: {
      fields: {
        node: { type: 'string', id: 1 },
        incarnation: { type: 'string', id: 2 },
        term: { type: 'double', id: 3 },
        leading: { type: 'bool', id: 4 },
        stateAgeMs: { type: 'uint32', id: 5 },
        counts: { rule: 'repeated', type: 'JobCount', id: 6 },
      },
    },
  },
}).lookupType('PeerStatus');
