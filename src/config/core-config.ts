/** Builds the core's configuration from the platform's settings and the operators' policy. */
import type { ClassObjectives, SchedulingPolicy, CoreConfig } from '../core/model.js';
import { timing, type PlatformSettings } from './settings.js';
import { initialLayout } from './record-layout.js';

/** The objectives of each job class that has any, sorted; times in milliseconds. */
export function classObjectives(
  objectives: PlatformSettings['cluster']['objectives'],
): Map<string, ClassObjectives> {
  const objectivesByClass = new Map<
    string,
    { startTargetsMs: number[]; deadlineMultiples: number[]; finishTargetsMs: number[] }
  >();
  for (const { kind, class: name, within_s, times } of objectives) {
    if (name === undefined) continue;
    const own = objectivesByClass.get(name) ?? {
      startTargetsMs: [],
      deadlineMultiples: [],
      finishTargetsMs: [],
    };
    objectivesByClass.set(name, own);
    if (kind === 'wait' && within_s !== undefined) own.startTargetsMs.push(within_s * 1000);
    else if (kind === 'finished' && within_s !== undefined) own.finishTargetsMs.push(within_s * 1000);
    else if (kind === 'deadline') own.deadlineMultiples.push(times ?? 1);
  }
  for (const own of objectivesByClass.values())
    for (const list of [own.startTargetsMs, own.deadlineMultiples, own.finishTargetsMs])
      list.sort((a, b) => a - b);
  return objectivesByClass;
}

/** The configuration of the scheduling core. */
export function createCoreConfig(settings: PlatformSettings, policy: SchedulingPolicy): CoreConfig {
  const { cluster } = settings;
  return {
    timing: timing(settings),
    teams: new Map(
      cluster.teams.map((team) => [
        team.name,
        {
          guaranteedCpus: team.cpus,
          maxCpus: team.cpus_max,
          guaranteedGpus: team.gpus,
          maxGpus: team.gpus_max,
        },
      ]),
    ),
    objectives: classObjectives(cluster.objectives),
    initialLayout: initialLayout(settings),
    maxDirectCallsPerInterval: Math.max(4, Math.ceil(cluster.quota.sockets / 100)),
    listLagMs: cluster.cloud.list_lag_s * 1000,
    policy,
  };
}
