/** Machines that miss responses, and duplicated heartbeats that arrive late. */
import { expect, test } from 'vitest';
import { isSchedulable } from '../src/core/fleet/index.js';
import type { Effect } from '../src/core/effects.js';
import { CoreHarness, job, report, task, TERM } from './emulators/core-harness.js';

const terminatedBy = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === 'terminate' ? effect.machines : []));

/** A worker without an answer times out after 4 s, and tries another controller 1 s later; in milliseconds. */
const UNANSWERED_RETRY_MS = 5000;

function isUsable(bench: CoreHarness, name: string): boolean {
  const machine = bench.state.machines.get(name);
  return machine !== undefined && isSchedulable(bench.state, machine, bench.time());
}

/** Other machines report too, so that only machine m is unresponsive. */
function reportOthers(bench: CoreHarness, seq: number): void {
  for (const name of ['n', 'o', 'p', 'q']) bench.hear(report(name, seq));
}

/** Machine m sends heartbeats, but does not receive the start that answers the latest one (sequence number `seq`). */
function createUnresponsiveMachine(): { bench: CoreHarness; seq: number } {
  const bench = new CoreHarness();
  bench.hear(report('m', 1));
  bench.now += 1000;
  bench.hear(report('m', 2));
  bench.add(job('req-1', 1, 8, 60));
  expect(CoreHarness.starts(bench.hear(report('m', 3)))).toEqual(['req-1/0#1']);
  reportOthers(bench, 1);
  return { bench, seq: 3 };
}

// Its heartbeats arrive, but every start sent to it is lost.
test('a machine that does not acknowledge a start gets no new task until it does', async () => {
  const { bench, seq } = createUnresponsiveMachine();
  const claim = [...(bench.state.machines.get('m')?.claims.values() ?? [])][0];
  bench.now += UNANSWERED_RETRY_MS;
  bench.hear(report('m', seq + 1));
  expect(isUsable(bench, 'm')).toBe(false);
  // The claim is kept: the machine may have received the start, and may still run the task.
  expect(bench.state.machines.get('m')?.claims.size).toBe(1);
  const started = task(`req-1/${claim?.task}`, claim?.attempt ?? 0, 'running');
  bench.now += 1000;
  bench.hear(report('m', seq + 2, [started]));
  expect(isUsable(bench, 'm')).toBe(true);
  await bench.expectTrace('unresponsive-recovers');
});

test('a machine that stays unresponsive is terminated, and its tasks run elsewhere after the confirmation', async () => {
  const { bench, seq } = createUnresponsiveMachine();
  const { silenceTimeoutMs } = bench.state.config.timing;
  const terminated: string[] = [];
  for (let at = 0; at < 2 * silenceTimeoutMs; at += UNANSWERED_RETRY_MS) {
    bench.now += UNANSWERED_RETRY_MS;
    bench.hear(report('m', seq + 1 + at / UNANSWERED_RETRY_MS));
    reportOthers(bench, 10 + at);
    terminated.push(...terminatedBy(bench.do({ kind: 'tick' })));
  }
  expect(terminated).toContain('m');
  expect(bench.state.machines.get('m')?.claims.size).toBe(1);
  bench.do({ kind: 'terminated', machines: ['m'], ok: true });
  expect([...(bench.state.jobs.get('req-1')?.claims.values() ?? [])].every((c) => c.machine !== 'm')).toBe(
    true,
  );
  await bench.expectTrace('unresponsive-stays');
});

// An overloaded leader may respond after the worker's timeout, which is not the machine's fault.
test('late responses of an overloaded leader do not count as missed by a machine', () => {
  const { bench, seq } = createUnresponsiveMachine();
  bench.do({ kind: 'tick', isOverloaded: true });
  for (let i = 1; i < 6; i += 1) {
    bench.now += UNANSWERED_RETRY_MS;
    bench.hear(report('m', seq + i));
    reportOthers(bench, 10 + i);
    expect(terminatedBy(bench.do({ kind: 'tick', isOverloaded: true }))).toEqual([]);
    // Only the first answer was sent in time and missed; the later ones are no evidence against the machine.
    expect(bench.state.machines.get('m')?.missedResponses).toBe(1);
  }
});

test('an agent epoch that changes although its heartbeat was answered counts as a missed response', () => {
  const bench = new CoreHarness();
  bench.hear(report('m', 1));
  bench.now += UNANSWERED_RETRY_MS;
  bench.hear(report('m', 2));
  bench.now += UNANSWERED_RETRY_MS;
  bench.hear(report('m', 3, [], { agentEpoch: 2 }));
  expect(isUsable(bench, 'm')).toBe(false);
  bench.now += 1000;
  bench.hear(report('m', 4, [], { agentEpoch: 2 }));
  expect(isUsable(bench, 'm')).toBe(true);
});

// If the responses of this node are lost, all machines seem unresponsive and none is at fault.
test('when many machines are unresponsive together, none is terminated for it', () => {
  const bench = new CoreHarness();
  const names = ['m', 'n', 'o', 'p'];
  let terminated: string[] = [];
  for (let seq = 1; seq < 9; seq += 1) {
    for (const name of names) bench.hear(report(name, seq, [], { agentEpoch: seq }));
    terminated = terminated.concat(terminatedBy(bench.do({ kind: 'tick' })));
    bench.now += UNANSWERED_RETRY_MS;
  }
  expect(names.some((name) => isUsable(bench, name))).toBe(false);
  expect(terminated).toEqual([]);
});

test('a stale duplicate of a heartbeat proves no liveness, sets no termination notice and releases no claim', () => {
  const { bench, seq } = createUnresponsiveMachine();
  const [claim] = bench.state.machines.get('m')?.claims.values() ?? [];
  bench.now += 1000;
  bench.hear(report('m', seq + 1, [task(`req-1/${claim?.task}`, 1, 'running')]));
  const lastHeartbeatAt = bench.state.machines.get('m')?.lastHeartbeatAt;
  bench.now += 20_000;
  const effects = bench.hear(report('m', seq, [], { terminationNoticeS: 5 }));
  expect(effects.some((effect) => effect.kind === 'reply' && effect.body.kind === 'unable')).toBe(true);
  expect(bench.state.machines.get('m')).toMatchObject({ lastHeartbeatAt, reclaimedAt: null });
  expect(bench.state.machines.get('m')?.claims.size).toBe(1);
});

// To a leader that has not yet received a heartbeat from a machine, duplicates that arrive in order look current.
test('duplicates after failover do not keep a machine alive that never shows the fencing token', async () => {
  const bench = new CoreHarness();
  const { workerLeaseMs, silenceTimeoutMs } = bench.state.config.timing;
  reportOthers(bench, 1);
  const terminated: string[] = [];
  for (let seq = 1; seq * 1000 < workerLeaseMs + 2 * silenceTimeoutMs; seq += 1) {
    // Sent to the previous leader, with its token and with a termination notice that is out of date.
    bench.hear(report('m', seq, [], { token: TERM - 1, terminationNoticeS: 300 }));
    reportOthers(bench, seq + 1);
    expect(isUsable(bench, 'm')).toBe(false);
    expect(bench.state.machines.get('m')?.reclaimedAt).toBe(null);
    terminated.push(...terminatedBy(bench.do({ kind: 'tick' })));
    bench.now += 1000;
  }
  expect(terminated).toContain('m');
  // The trace keeps only its first and last 30 lines.
  bench.lines.splice(30, bench.lines.length - 60);
  await bench.expectTrace('failover-duplicates');
});
