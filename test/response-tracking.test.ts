/** Machines that miss responses, and duplicated heartbeats that arrive late. */
import { expect, test } from 'vitest';
import { isSchedulable } from '../src/core/fleet/index.js';
import type { Effect } from '../src/core/effects.js';
import { CoreHarness, job, heartbeatOf, task, TERM } from './emulators/core-harness.js';

const terminatedBy = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === 'terminate' ? effect.machines : []));

/** A worker without an answer times out after 4 s, and tries another controller 1 s later; in milliseconds. */
const UNANSWERED_RETRY_MS = 5000;

function isUsable(harness: CoreHarness, name: string): boolean {
  const machine = harness.state.machines.get(name);
  return machine !== undefined && isSchedulable(harness.state, machine, harness.time());
}

/** Other machines report too, so that only machine m is unresponsive. */
function reportOthers(harness: CoreHarness, seq: number): void {
  for (const name of ['n', 'o', 'p', 'q']) harness.deliverHeartbeat(heartbeatOf(name, seq));
}

/** Machine m sends heartbeats, but does not receive the start that answers the latest one (sequence number `seq`). */
function createUnresponsiveMachine(): { harness: CoreHarness; seq: number } {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.now += 1000;
  harness.deliverHeartbeat(heartbeatOf('m', 2));
  harness.addJob(job('req-1', 1, 8, 60));
  expect(CoreHarness.startedTasks(harness.deliverHeartbeat(heartbeatOf('m', 3)))).toEqual(['req-1/0#1']);
  reportOthers(harness, 1);
  return { harness, seq: 3 };
}

// Its heartbeats arrive, but every start sent to it is lost.
test('a machine that does not acknowledge a start gets no new task until it does', async () => {
  const { harness, seq } = createUnresponsiveMachine();
  const claim = [...(harness.state.machines.get('m')?.claims.values() ?? [])][0];
  harness.now += UNANSWERED_RETRY_MS;
  harness.deliverHeartbeat(heartbeatOf('m', seq + 1));
  expect(isUsable(harness, 'm')).toBe(false);
  // The claim is kept: the machine may have received the start, and may still run the task.
  expect(harness.state.machines.get('m')?.claims.size).toBe(1);
  const started = task(`req-1/${claim?.task}`, claim?.attempt ?? 0, 'running');
  harness.now += 1000;
  harness.deliverHeartbeat(heartbeatOf('m', seq + 2, [started]));
  expect(isUsable(harness, 'm')).toBe(true);
  await harness.expectTrace('unresponsive-recovers');
});

test('a machine that stays unresponsive is terminated, and its tasks run elsewhere after the confirmation', async () => {
  const { harness, seq } = createUnresponsiveMachine();
  const { silenceTimeoutMs } = harness.state.config.timing;
  const terminated: string[] = [];
  for (let at = 0; at < 2 * silenceTimeoutMs; at += UNANSWERED_RETRY_MS) {
    harness.now += UNANSWERED_RETRY_MS;
    harness.deliverHeartbeat(heartbeatOf('m', seq + 1 + at / UNANSWERED_RETRY_MS));
    reportOthers(harness, 10 + at);
    terminated.push(...terminatedBy(harness.stepAndCommit({ kind: 'tick' })));
  }
  expect(terminated).toContain('m');
  expect(harness.state.machines.get('m')?.claims.size).toBe(1);
  harness.stepAndCommit({ kind: 'terminated', machines: ['m'], ok: true });
  expect([...(harness.state.jobs.get('req-1')?.claims.values() ?? [])].every((c) => c.machine !== 'm')).toBe(
    true,
  );
  await harness.expectTrace('unresponsive-stays');
});

// An overloaded leader may respond after the worker's timeout, which is not the machine's fault.
test('late responses of an overloaded leader do not count as missed by a machine', () => {
  const { harness, seq } = createUnresponsiveMachine();
  harness.stepAndCommit({ kind: 'tick', isOverloaded: true });
  for (let i = 1; i < 6; i += 1) {
    harness.now += UNANSWERED_RETRY_MS;
    harness.deliverHeartbeat(heartbeatOf('m', seq + i));
    reportOthers(harness, 10 + i);
    expect(terminatedBy(harness.stepAndCommit({ kind: 'tick', isOverloaded: true }))).toEqual([]);
    // Only the first answer was sent in time and missed; the later ones are no evidence against the machine.
    expect(harness.state.machines.get('m')?.missedResponses).toBe(1);
  }
});

test('an agent epoch that changes although its heartbeat was answered counts as a missed response', () => {
  const harness = new CoreHarness();
  harness.deliverHeartbeat(heartbeatOf('m', 1));
  harness.now += UNANSWERED_RETRY_MS;
  harness.deliverHeartbeat(heartbeatOf('m', 2));
  harness.now += UNANSWERED_RETRY_MS;
  harness.deliverHeartbeat(heartbeatOf('m', 3, [], { agentEpoch: 2 }));
  expect(isUsable(harness, 'm')).toBe(false);
  harness.now += 1000;
  harness.deliverHeartbeat(heartbeatOf('m', 4, [], { agentEpoch: 2 }));
  expect(isUsable(harness, 'm')).toBe(true);
});

// If the responses of this node are lost, all machines seem unresponsive and none is at fault.
test('when many machines are unresponsive together, none is terminated for it', () => {
  const harness = new CoreHarness();
  const names = ['m', 'n', 'o', 'p'];
  let terminated: string[] = [];
  for (let seq = 1; seq < 9; seq += 1) {
    for (const name of names) harness.deliverHeartbeat(heartbeatOf(name, seq, [], { agentEpoch: seq }));
    terminated = terminated.concat(terminatedBy(harness.stepAndCommit({ kind: 'tick' })));
    harness.now += UNANSWERED_RETRY_MS;
  }
  expect(names.some((name) => isUsable(harness, name))).toBe(false);
  expect(terminated).toEqual([]);
});

test('a stale duplicate of a heartbeat proves no liveness, sets no termination notice and releases no claim', () => {
  const { harness, seq } = createUnresponsiveMachine();
  const [claim] = harness.state.machines.get('m')?.claims.values() ?? [];
  harness.now += 1000;
  harness.deliverHeartbeat(heartbeatOf('m', seq + 1, [task(`req-1/${claim?.task}`, 1, 'running')]));
  const lastHeartbeatAt = harness.state.machines.get('m')?.lastHeartbeatAt;
  harness.now += 20_000;
  const effects = harness.deliverHeartbeat(heartbeatOf('m', seq, [], { terminationNoticeS: 5 }));
  expect(effects.some((effect) => effect.kind === 'reply' && effect.body.kind === 'unable')).toBe(true);
  expect(harness.state.machines.get('m')).toMatchObject({ lastHeartbeatAt, reclaimedAt: null });
  expect(harness.state.machines.get('m')?.claims.size).toBe(1);
});

// To a leader that has not yet received a heartbeat from a machine, duplicates that arrive in order look current.
test('duplicates after failover do not keep a machine alive that never shows the fencing token', async () => {
  const harness = new CoreHarness();
  const { workerLeaseMs, silenceTimeoutMs } = harness.state.config.timing;
  reportOthers(harness, 1);
  const terminated: string[] = [];
  for (let seq = 1; seq * 1000 < workerLeaseMs + 2 * silenceTimeoutMs; seq += 1) {
    // Sent to the previous leader, with its token and with a termination notice that is out of date.
    harness.deliverHeartbeat(heartbeatOf('m', seq, [], { token: TERM - 1, terminationNoticeS: 300 }));
    reportOthers(harness, seq + 1);
    expect(isUsable(harness, 'm')).toBe(false);
    expect(harness.state.machines.get('m')?.reclaimedAt).toBe(null);
    terminated.push(...terminatedBy(harness.stepAndCommit({ kind: 'tick' })));
    harness.now += 1000;
  }
  expect(terminated).toContain('m');
  // The trace keeps only its first and last 30 lines.
  harness.lines.splice(30, harness.lines.length - 60);
  await harness.expectTrace('failover-duplicates');
});
