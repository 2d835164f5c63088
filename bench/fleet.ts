/** Measures one version of the core at one size: start, burst, mass loss, takeover, huge array and tiny jobs. */
import { FleetSimulation, HUGE, TINY } from './world.js';
import { core, records } from '#version';

const fleet = Number(process.argv[2] ?? 600);
const simulation = new FleetSimulation(core, records, fleet);

interface Row {
  readonly phase: string;
  readonly placed: number;
  readonly reports: number;
  readonly msPerReport: number;
  readonly msPerPlaced: number;
  readonly msPerTick: number;
  readonly worstMs: number;
  readonly share: number;
}

const rows: Row[] = [];
function phase(name: string, seconds: number, before?: () => void): void {
  simulation.reset();
  before?.();
  simulation.run(seconds);
  const costOf = (kind: string): { ms: number; count: number } =>
    simulation.cost.get(kind) ?? { ms: 0, count: 0 };
  const heartbeats = costOf('reports').count;
  rows.push({
    phase: name,
    placed: simulation.placed,
    reports: heartbeats,
    msPerReport: costOf('batch').ms / Math.max(1, heartbeats),
    msPerPlaced: costOf('all').ms / Math.max(1, simulation.placed),
    msPerTick: costOf('tick').ms / Math.max(1, costOf('tick').count),
    worstMs: simulation.worstMs,
    share: costOf('all').ms / (seconds * 1000),
  });
}

phase('start', 90);
phase('burst', 60, () => simulation.setArrivalFactor(3));
phase('loss', 45, () => {
  simulation.setArrivalFactor(1);
  simulation.failMachines(1 / 3);
});
phase('takeover', 30, () => simulation.takeover());
phase('huge array', 60, () => simulation.submitJobs([HUGE]));
phase('tiny jobs', 60, () => simulation.submitJobs(Array.from({ length: 400 }, () => TINY)));
process.stdout.write(JSON.stringify(rows) + '\n');
