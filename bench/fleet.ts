/** One version of the core through a start, a burst, a mass loss and a takeover, at one size. */
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
  const of = (kind: string): { ms: number; count: number } => world.cost.get(kind) ?? { ms: 0, count: 0 };
  const reports = of('reports').count;
  rows.push({
    phase: name,
    placed: world.placed,
    reports,
    msPerReport: of('batch').ms / Math.max(1, reports),
    msPerPlaced: of('all').ms / Math.max(1, world.placed),
    msPerTick: of('tick').ms / Math.max(1, of('tick').count),
    worstMs: world.worst,
    share: of('all').ms / (seconds * 1000),
  });
}

phase('start', 90);
phase('burst', 60, () => world.surge(3));
phase('loss', 45, () => {
  world.surge(1);
  world.lose(1 / 3);
});
phase('takeover', 30, () => world.takeover());
phase('huge array', 60, () => world.guests([HUGE]));
phase('tiny jobs', 60, () => world.guests(Array.from({ length: 400 }, () => TINY)));
process.stdout.write(JSON.stringify(rows) + '\n');
