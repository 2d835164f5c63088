/** Validation of messages from other systems. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { commandBytes } from '../src/core/message-sizes.js';
import type { Heartbeat, ReportedTask, WorkerCommand } from '../src/core/types.js';
import { answerBytes, forwardedHeartbeatBytes } from '../src/wire/intake.js';
import { PeerMessageReader } from '../src/wire/peer-reader.js';
import { encodeIntake, encodeStatus, MAX_FRAME_BYTES, type PeerStatus } from '../src/wire/peers.js';
import { parseCatalog, parseMachinePage, parseProvisioned } from '../src/wire/cloud.js';
import { parseChanges, parsePage, parseRevision } from '../src/wire/key-value-store.js';
import { encodeDirectCommands, encodeReply, parseHeartbeat, parseTaskName } from '../src/wire/workers.js';

const status: PeerStatus = {
  node: 'n-0',
  incarnation: 'x',
  term: 7,
  isLeader: true,
  storeContactAgeMs: 12,
  counts: [{ id: 'req-1', done: 3, running: 0, why: 2 }],
  format: 2,
  dependenciesResolvedUntil: 12.5,
  silentZones: [{ zone: 'b', silentMs: 1500 }],
  relayedMachines: ['vm-1'],
  viewConfirmedAt: 13.5,
  timerLagMs: 40,
  observations: [{ node: 'n-1', ageMs: 700, linkState: 'refused' }],
  unexpectedReports: 2,
  reporting: 590,
  expected: 600,
  probeRequests: ['10.1.0.7:9000'],
  probeRound: 3,
  reachable: 1,
  unreachable: 7,
  acceptsHeartbeats: true,
};

test('peer messages are decoded however the stream is split', () => {
  const bytes = Buffer.concat([encodeStatus(status), encodeStatus({ ...status, term: 8 })]);
  const reader = new PeerMessageReader();
  const statuses = [...bytes].flatMap((byte) => reader.push(Uint8Array.of(byte)));
  expect(statuses).toEqual([status, { ...status, term: 8 }]);
});

test('malformed and oversized frames from a peer are rejected', () => {
  expect(() => new PeerMessageReader().push(Uint8Array.of(0xff, 0xff, 0xff, 0xff, 0x7f))).toThrow();
  expect(() => new PeerMessageReader().push(Buffer.from([3, 0x07, 0x07, 0x07]))).toThrow();
  expect(MAX_FRAME_BYTES).toBeGreaterThan(encodeStatus(status).length);
});

test('malformed responses of the store and the cloud are discarded', () => {
  expect(parseRevision({ ledgerRev: 'x' })).toBeNull();
  expect(parsePage({ rows: [{ key: 'a' }], ledgerRev: 3 })).toBeNull();
  expect(parseChanges({ events: [{ stamp: 3 }], ledgerRev: 3 })).toBeNull();
  expect(parseCatalog({ benches: [{ name: 'x' }] })).toBeNull();
  expect(parseMachinePage({ skiffs: [{ nameId: 'vm', stage: 'odd' }] })).toBeNull();
  expect(parseProvisioned({ skiffs: [7] })).toBeNull();
});

test('heartbeats: null equals absent, unknown fields are ignored, any invalid field rejects the heartbeat', () => {
  const heartbeat = {
    skiff: 'vm-1',
    address: '10.0.0.1:1',
    bench: 'g8',
    hall: 'a',
    borrowed: true,
    watch: 1,
    barNo: 8,
    baton: 4,
    more: 1,
    movements: [{ movement: 'req-1/3', take: 2, stage: 'ended', cadence: 'new kind of end' }],
  };
  expect(parseHeartbeat(heartbeat)).toMatchObject({
    terminationNoticeS: null,
    tasks: [{ job: 'req-1', task: 3, exit: 'error' }],
  });
  expect(parseHeartbeat({ ...heartbeat, recallS: null, movements: null })).toMatchObject({ tasks: [] });
  expect(
    parseHeartbeat({ ...heartbeat, movements: [{ movement: 'req-1', take: 2, stage: 'running' }] }),
  ).toBeNull();
  expect(parseHeartbeat({ ...heartbeat, barNo: -1 })).toBeNull();
  expect(parseTaskName('req-1/')).toBeNull();
});

test('commands are encoded in the worker protocol', () => {
  expect(
    JSON.parse(encodeReply(41, [{ op: 'stop', job: 'req-1', task: 1, attempt: 2, graceS: 10 }])),
  ).toEqual({
    baton: 41,
    cues: [{ cue: 'halt', movement: 'req-1/1', take: 2, fermataS: 10 }],
  });
});

// The example in the protocol's description lists the later of two changes first.
test('changes are ordered by revision, whatever the order of the response', () => {
  const response = {
    ledgerRev: 9,
    events: [
      { remove: 'job/req-1', stamp: 8 },
      { put: 'job/req-1', data: {}, stamp: 7 },
    ],
  };
  expect(parseChanges(response)?.changes.map(({ modRevision }) => modRevision)).toEqual([7, 8]);
});

const jobName = fc.oneof(
  fc.constant('req-000002'),
  fc.string({ unit: 'grapheme', minLength: 1, maxLength: 40 }),
);
const anyCommand: fc.Arbitrary<WorkerCommand> = fc.oneof(
  fc.record({
    op: fc.constantFrom('start' as const, 'forget' as const),
    job: jobName,
    task: fc.nat(),
    attempt: fc.maxSafeNat(),
  }),
  fc.record({
    op: fc.constant('stop' as const),
    job: jobName,
    task: fc.nat(),
    attempt: fc.maxSafeNat(),
    graceS: fc.double({ min: 0, max: 1e6, noNaN: true }),
  }),
);

test('the size that is counted for a command is no less than what it takes in a message to a worker', () => {
  fc.assert(
    fc.property(anyCommand, (command) => {
      const bytes = (commands: WorkerCommand[]): number =>
        Buffer.byteLength(encodeDirectCommands(7, 1, commands));
      expect(bytes([command, command]) - bytes([command])).toBeLessThanOrEqual(commandBytes(command));
    }),
    { seed: 59 },
  );
});

test('the size that is counted for an answer or a heartbeat is no less than what it takes between controllers', () => {
  const envelope = { node: 'n-0', incarnation: 'x', term: 7, sentAt: 5 };
  const answers = {
    kind: 'answers',
    ...envelope,
    number: 2 ** 31,
    attention: [],
    isSnapshot: false,
  } as const;
  const answersMessage = { ...answers, addressee: '', isSharing: true, viewConfirmedAt: 0, redirect: null };
  fc.assert(
    fc.property(
      fc.array(anyCommand, { maxLength: 60 }),
      fc.integer({ min: 0, max: 2 ** 32 - 1 }),
      (drawn, reference) => {
        const commands = drawn.map((one) => ({ ...one, attempt: one.attempt % 2 ** 32 }));
        const startLease = { remainingMs: 2 ** 31, viewRevision: 2 ** 52 };
        const answer = { reference, isAccepted: true, needsAttention: true, commands, startLease };
        const withAnswer = encodeIntake({ ...answersMessage, answers: [answer] }).length;
        const without = encodeIntake({ ...answersMessage, answers: [] }).length;
        expect(withAnswer - without).toBeLessThanOrEqual(answerBytes(answer));
        const tasks: ReportedTask[] = commands.map(({ job, task, attempt }) => ({
          job,
          task,
          attempt,
          stage: 'exited',
          exit: 'unknown',
        }));
        const heartbeat: Heartbeat = {
          machine: 'vm-1',
          address: '10.0.0.1:1',
          type: 'g8',
          zone: 'a',
          spot: true,
          agentEpoch: 2 ** 52,
          sequence: 2 ** 52,
          token: 2 ** 52,
          terminationNoticeS: 1.5,
          tasks,
        };
        const heartbeats = { kind: 'heartbeats', ...envelope, keepalives: [] } as const;
        const withHeartbeat = encodeIntake({ ...heartbeats, heartbeats: [{ reference, heartbeat }] }).length;
        const empty = encodeIntake({ ...heartbeats, heartbeats: [] }).length;
        expect(withHeartbeat - empty).toBeLessThanOrEqual(forwardedHeartbeatBytes(heartbeat));
      },
    ),
    { seed: 59 },
  );
});
