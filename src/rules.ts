/** The rules that the core goes by, from the platform's settings and the operators' policy. */
import type { ClassAims, PolicyFigures, Rules } from './core/model.js';
import { timing, type PlatformSettings } from './settings.js';
import { firstLayout } from './upgrade.js';

/** The aims of every class that some objective speaks of; any number of each kind. */
export function classAims(objectives: PlatformSettings['cluster']['objectives']): Map<string, ClassAims> {
  const aims = new Map<string, { starts: number[]; deadlines: number[]; finishes: number[] }>();
  for (const { kind, class: name, within_s, times } of objectives) {
    if (name === undefined) continue;
    const own = aims.get(name) ?? { starts: [], deadlines: [], finishes: [] };
    aims.set(name, own);
    if (kind === 'wait' && within_s !== undefined) own.starts.push(within_s * 1000);
    else if (kind === 'finished' && within_s !== undefined) own.finishes.push(within_s * 1000);
    else if (kind === 'deadline') own.deadlines.push(times ?? 1);
  }
  for (const own of aims.values())
    for (const list of [own.starts, own.deadlines, own.finishes]) list.sort((a, b) => a - b);
  return aims;
}

export function rulesFor(settings: PlatformSettings, policy: PolicyFigures): Rules {
  const { cluster } = settings;
  return {
    timing: timing(settings),
    teams: new Map(
      cluster.teams.map((team) => [
        team.name,
        { cpus: team.cpus, cpusMax: team.cpus_max, gpus: team.gpus, gpusMax: team.gpus_max },
      ]),
    ),
    aims: classAims(cluster.objectives),
    firstLayout: firstLayout(settings),
    mostCalls: Math.max(4, Math.ceil(cluster.quota.sockets / 100)),
    listLag: cluster.cloud.list_lag_s * 1000,
    policy,
  };
}
