/** Formats a run's figures as lines for a terminal. */
import type { Quantiles } from '../measure/latencies.js';
import type { RunFigures } from '../measure/samples.js';

const formatMs = ({ count, p50, p95, p99, worst }: Quantiles): string =>
  `p50 ${p50} p95 ${p95} p99 ${p99} worst ${worst} ms (${count})`;

/** Returns one line per subject. */
export function formatFigures(figures: RunFigures): string[] {
  const { leader, follower, stateService, worker } = figures;
  const lines = [
    `${figures.tasksRunning.toFixed(0)} tasks running, ${figures.startsPerS.toFixed(0)} starts/s, best 10 s ${figures.startsPerSBest10.toFixed(0)}`,
    `leader ${leader.core.toFixed(3)} core (p95 ${leader.coreP95.toFixed(3)}), ${leader.residentMb.toFixed(0)} MB, ${figures.leaderMsPerReport.toFixed(3)} ms a report`,
    `follower ${follower.core.toFixed(3)} core, ${follower.residentMb.toFixed(0)} MB; all controllers ${figures.controllersMsPerReport.toFixed(3)} ms a report, ${(figures.peerBytesPerS / 1024).toFixed(0)} KB/s between them`,
    `state service ${stateService.core.toFixed(3)} core, ${stateService.changesPerS.toFixed(0)} changes/s (${figures.changesPerStart.toFixed(2)} a start), ${stateService.requestsPerS.toFixed(0)} requests/s, ${stateService.keys} keys of ${(stateService.bytes / 1024).toFixed(0)} KB`,
    `worker ${worker.reportsPerS.toFixed(2)} reports/s, ${(worker.bytesPerS / 1024).toFixed(2)} KB/s, at most ${(100 * worker.core).toFixed(2)} % of a core`,
    `report to answer ${formatMs(figures.reportMs)}; submission to acceptance ${formatMs(figures.acceptedMs)}`,
  ];
  for (const [name, quantiles] of Object.entries(figures.onMs))
    lines.push(`${name}: submission to start ${formatMs(quantiles)}`);
  if (figures.crashToStartMs.length > 0)
    lines.push(`crash to first start ${figures.crashToStartMs.map((one) => one.toFixed(0)).join(', ')} ms`);
  lines.push(
    `${figures.leasesLost} leases lost; ${figures.submitted} jobs, ${figures.unfinished} accepted and unfinished, ${figures.unanswered} unanswered at the end`,
  );
  for (const line of figures.firstViolations) lines.push(`BROKEN ${line}`);
  return lines;
}
