/** Plots of runs, drawn with Vega as SVG. */
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { RunResult } from '../run.js';

const WIDTH = 520;
const HEIGHT = 220;

type Row = Readonly<Record<string, string | number>>;

async function draw(title: string, rows: readonly Row[], chart: object): Promise<string> {
  const spec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title,
    width: WIDTH,
    height: HEIGHT,
    background: 'white',
    data: { values: rows },
    ...chart,
  } as TopLevelSpec;
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  return view.toSVG();
}

const lineChart = (x: string, xTitle: string, y: string, yTitle: string): object => ({
  mark: { type: 'line', point: false },
  encoding: {
    x: { field: x, type: 'quantitative', title: xTitle },
    y: { field: y, type: 'quantitative', title: yTitle },
    color: { field: 'series', type: 'nominal', title: null },
  },
});

const scatterChart = (x: string, xTitle: string, y: string, yTitle: string): object => ({
  layer: [
    { mark: { type: 'point', filled: true } },
    {
      mark: { type: 'line', strokeDash: [4, 3] },
      transform: [{ regression: y, on: x, groupby: ['series'] }],
    },
  ],
  encoding: {
    x: { field: x, type: 'quantitative', title: xTitle, scale: { zero: true } },
    y: { field: y, type: 'quantitative', title: yTitle },
    color: { field: 'series', type: 'nominal', title: null },
  },
});

const seriesName = ({ figures }: RunResult): string => `${figures.workers} ${figures.variant}`;

/** Draws the plots; returns them by name, as SVG text. */
export async function drawPlots(results: readonly RunResult[]): Promise<Record<string, string>> {
  const overTime = results.flatMap((result) =>
    result.seconds.flatMap(({ at, controllers }): Row[] =>
      controllers
        .filter(({ role }) => role === 'leader')
        .map(({ core }) => ({ at, core, series: seriesName(result) })),
    ),
  );
  const bySize = results.flatMap(({ figures }): Row[] => [
    { workers: figures.workers, core: figures.leader.core, series: `leader ${figures.variant}` },
    { workers: figures.workers, core: figures.follower.core, series: `follower ${figures.variant}` },
    { workers: figures.workers, core: figures.stateService.core, series: `state service ${figures.variant}` },
  ]);
  const starts = results.flatMap(({ figures }): Row[] =>
    Object.entries(figures.onMs).flatMap(([jobClass, quantiles]) =>
      (['p50', 'p95', 'p99'] as const).map((which) => ({
        which,
        seconds: quantiles[which] / 1000,
        series: `${jobClass} ${figures.workers} ${figures.variant}`,
      })),
    ),
  );
  return {
    'leader-over-time': await draw(
      'Leader: share of a core',
      overTime,
      lineChart('at', 'seconds', 'core', 'cores'),
    ),
    'cores-by-size': await draw(
      'Share of a core by workers',
      bySize,
      scatterChart('workers', 'workers', 'core', 'cores'),
    ),
    'start-latency': await draw('Submission to start', starts, {
      mark: { type: 'point', filled: true },
      encoding: {
        x: { field: 'seconds', type: 'quantitative', title: 'seconds', scale: { type: 'log' } },
        y: { field: 'series', type: 'nominal', title: null },
        color: { field: 'which', type: 'nominal', title: null },
      },
    }),
  };
}
