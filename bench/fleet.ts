/** Measures one version of the core at one size: start, burst, mass loss, takeover, huge array and tiny jobs. */
import { FleetWorld, HUGE, TINY } from './world.js';
import { core, records } from '#version';

const fleet = Number(process.argv[2] ?? 600);
const world = new FleetWorld(core, records, fleet);

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
  world.reset();
  before?.();
  world.run(seconds);
  const costOf = (kind: string): { ms: number; count: number } => world.cost.get(kind) ?? { ms: 0, count: 0 };
  const reports = costOf('reports').count;
  rows.push({
    phase: name,
    placed: world.placed,
    reports,
    msPerReport: costOf('batch').ms / Math.max(1, reports),
    msPerPlaced: costOf('all').ms / Math.max(1, world.placed),
    msPerTick: costOf('tick').ms / Math.max(1, costOf('tick').count),
    worstMs: world.worst,
    share: costOf('all').ms / (seconds * 1000),
  });
}

phase('start', 90);
phase('burst', 60, () => world.setArrivalFactor(3));
phase('loss', 45, () => {
  world.setArrivalFactor(1);
  world.failMachines(1 / 3);
});
phase('takeover', 30, () => world.takeover());
phase('huge array', 60, () => world.submitJobs([HUGE]));
phase('tiny jobs', 60, () => world.submitJobs(Array.from({ length: 400 }, () => TINY)));
process.stdout.write(JSON.stringify(rows) + '\n');
