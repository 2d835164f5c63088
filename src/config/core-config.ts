/** Builds the core's configuration from the platform's settings and the operators' policy. */
import type { ClassObjectives, SchedulingPolicy, CoreConfig } from '../core/model.js';
import { timing, type PlatformSettings } from './settings.js';
import { initialLayout } from './record-layout.js';

/**
 * The start, deadline and finish objectives of each job class that has any, each list in ascending order; times
 * in milliseconds. Objectives that name no class are left out.
 */
export function classObjectives(
  objectives: PlatformSettings['cluster']['objectives'],
): Map<string, ClassObjectives> {
  const objectivesByClass = new Map<
    string,
    { startTargetsMs: number[]; deadlineMultiples: number[]; finishTargetsMs: number[] }
  >();
  for (const { kind, class: name, within_s, times } of objectives) {
    if (name === undefined) continue;
    const classTargets = objectivesByClass.get(name) ?? {
      startTargetsMs: [],
      deadlineMultiples: [],
      finishTargetsMs: [],
    };
    objectivesByClass.set(name, classTargets);
    if (kind === 'wait' && within_s !== undefined) classTargets.startTargetsMs.push(within_s * 1000);
    else if (kind === 'finished' && within_s !== undefined)
      classTargets.finishTargetsMs.push(within_s * 1000);
    else if (kind === 'deadline') classTargets.deadlineMultiples.push(times ?? 1);
  }
  for (const classTargets of objectivesByClass.values())
    for (const list of [
      classTargets.startTargetsMs,
      classTargets.deadlineMultiples,
      classTargets.finishTargetsMs,
    ])
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
