/** The figures operators may set; these are the defaults. */
import type { PolicyFigures } from './core/state.js';
import { timing, type PlatformSettings } from './settings.js';

export function defaultPolicy(settings: PlatformSettings): PolicyFigures {
  const { longestReport, workerLease } = timing(settings);
  return {
    expectedRun: (job) => job.estimateS * 1000,
    overrunAllowance: () => workerLease,
    placingWait: longestReport,
    idleHold: (type, spot) => type.bootS * (spot ? 1000 : 300),
    deadlineSlack: () => 0.5,
    headroom: () => 1,
    headroomMemory: 20 * workerLease,
  };
}
