/** Machines that miss responses, and duplicated heartbeats that arrive late. */
import { expect, test } from 'vitest';
import { isSchedulable } from '../src/core/fleet/index.js';
import type { Effect } from '../src/core/effects.js';
import { CoreHarness, job, report, task, TERM } from './emulators/core-harness.js';

const returned = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === 'terminate' ? effect.machines : []));

/** A worker without an answer gives it up after 4 s, and tries another controller a second later. */
const UNANSWERED = 5000;

function usable(bench: CoreHarness, name: string): boolean {
  const machine = bench.state.machines.get(name);
  return machine !== undefined && isSchedulable(bench.state, machine, bench.time());
}

/** Others report in their rhythm, so that only one machine is in question. */
function others(bench: CoreHarness, seq: number): void {
  for (const name of ['n', 'o', 'p', 'q']) bench.hear(report(name, seq));
}

/** Machine m reports, and hears nothing of what it is told. */
function deaf(): { bench: CoreHarness; seq: number } {
  const bench = new CoreHarness();
  bench.hear(report('m', 1));
  bench.now += 1000;
  bench.hear(report('m', 2));
  bench.add(job('req-1', 1, 8, 60));
  expect(CoreHarness.starts(bench.hear(report('m', 3)))).toEqual(['req-1/0#1']);
  others(bench, 1);
  return { bench, seq: 3 };
}

// Its heartbeats look alive, but each start on it is lost.
test('a machine that does not acknowledge a start gets no new task until it does', async () => {
  const { bench, seq } = deaf();
  const claim = [...(bench.state.machines.get('m')?.claims.values() ?? [])][0];
  bench.now += UNANSWERED;
  bench.hear(report('m', seq + 1));
  expect(usable(bench, 'm')).toBe(false);
  // Doubt frees nothing: what it was told may still be carried out, as far as is known here.
  expect(bench.state.machines.get('m')?.claims.size).toBe(1);
  const started = task(`req-1/${claim?.task}`, claim?.attempt ?? 0, 'running');
  bench.now += 1000;
  bench.hear(report('m', seq + 2, [started]));
  expect(usable(bench, 'm')).toBe(true);
  await bench.expectTrace('unresponsive-recovers');
});

test('a machine that stays unresponsive is terminated, and its tasks run elsewhere after the confirmation', async () => {
  const { bench, seq } = deaf();
  const { silenceTimeoutMs } = bench.state.config.timing;
  const gone: string[] = [];
  for (let at = 0; at < 2 * silenceTimeoutMs; at += UNANSWERED) {
    bench.now += UNANSWERED;
    bench.hear(report('m', seq + 1 + at / UNANSWERED));
    others(bench, 10 + at);
    gone.push(...returned(bench.do({ kind: 'tick' })));
  }
  expect(gone).toContain('m');
  expect(bench.state.machines.get('m')?.claims.size).toBe(1);
  bench.do({ kind: 'terminated', machines: ['m'], ok: true });
  expect([...(bench.state.jobs.get('req-1')?.claims.values() ?? [])].every((c) => c.machine !== 'm')).toBe(
    true,
  );
  await bench.expectTrace('unresponsive-stays');
});

// An overloaded leader responds after the worker's timeout: no fault of the machine.
test('late responses of an overloaded leader do not count as missed by a machine', () => {
  const { bench, seq } = deaf();
  bench.do({ kind: 'tick', isOverloaded: true });
  for (let i = 1; i < 6; i += 1) {
    bench.now += UNANSWERED;
    bench.hear(report('m', seq + i));
    others(bench, 10 + i);
    expect(returned(bench.do({ kind: 'tick', isOverloaded: true }))).toEqual([]);
    // The first answer was given in time, and missed; none of those since says anything.
    expect(bench.state.machines.get('m')?.missedResponses).toBe(1);
  }
});

test('an agent epoch that changes although its heartbeat was answered counts as a missed response', () => {
  const bench = new CoreHarness();
  bench.hear(report('m', 1));
  bench.now += UNANSWERED;
  bench.hear(report('m', 2));
  bench.now += UNANSWERED;
  bench.hear(report('m', 3, [], { agentEpoch: 2 }));
  expect(usable(bench, 'm')).toBe(false);
  bench.now += 1000;
  bench.hear(report('m', 4, [], { agentEpoch: 2 }));
  expect(usable(bench, 'm')).toBe(true);
});

// If the responses of this node are lost, all machines seem unresponsive and none is at fault.
test('many unresponsive machines are one event: none is terminated for it', () => {
  const bench = new CoreHarness();
  const names = ['m', 'n', 'o', 'p'];
  let gone: string[] = [];
  for (let seq = 1; seq < 9; seq += 1) {
    for (const name of names) bench.hear(report(name, seq, [], { agentEpoch: seq }));
    gone = gone.concat(returned(bench.do({ kind: 'tick' })));
    bench.now += UNANSWERED;
  }
  expect(names.some((name) => usable(bench, name))).toBe(false);
  expect(gone).toEqual([]);
});

test('duplicates: a stale heartbeat is no sign of life, carries no termination notice and ends nothing', () => {
  const { bench, seq } = deaf();
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

// To a leader that never heard from the machine, duplicates that arrive in order look like its heartbeats.
test('duplicates after failover do not keep a machine alive that never shows the fencing token', async () => {
  const bench = new CoreHarness();
  const { workerLeaseMs, silenceTimeoutMs } = bench.state.config.timing;
  others(bench, 1);
  const gone: string[] = [];
  for (let seq = 1; seq * 1000 < workerLeaseMs + 2 * silenceTimeoutMs; seq += 1) {
    // Sent to the leader before, with its token, and a notice that was kept long ago.
    bench.hear(report('m', seq, [], { token: TERM - 1, terminationNoticeS: 300 }));
    others(bench, seq + 1);
    expect(usable(bench, 'm')).toBe(false);
    expect(bench.state.machines.get('m')?.reclaimedAt).toBe(null);
    gone.push(...returned(bench.do({ kind: 'tick' })));
    bench.now += 1000;
  }
  expect(gone).toContain('m');
  // Its beginning and its end are enough to read.
  bench.lines.splice(30, bench.lines.length - 60);
  await bench.expectTrace('failover-duplicates');
});
