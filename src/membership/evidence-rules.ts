/**
 * Which evidence allows which action. Any one rule suffices for suspicion, which is reversible; a verdict needs
 * every rule of its list. docs/suspicion.md explains what each rule protects against, and
 * test/membership.test.ts removes each of them once.
 */
import type { Timing } from '../core/timing.js';
import type { InterArrivalTracker } from './inter-arrival-tracker.js';
import type { HealthCounts, LinkState, ProbeRound, MemberStatus } from './status.js';

/** What is known of another controller; times are steady, in milliseconds. */
export interface Peer {
  readonly node: string;
  status: MemberStatus | null;
  lastStatusAt: number | null;
  /** Steady time since which this incarnation has been heard without a gap. */
  contactSince: number;
  readonly arrivals: InterArrivalTracker;
  linkState: LinkState;
  /** When it was last lost or refused after being up or heard, and refusals since. */
  linkLostAt: number | null;
  consecutiveRefusals: number;
  /** Incarnations that another has followed, latest last. */
  readonly previousIncarnations: string[];
}

/** What is known of this node itself. */
export interface LocalState {
  readonly storeContactAgeMs: number;
  readonly timerLagMs: number;
  /** Since when it has been behind without a break; null: it keeps up. */
  readonly laggingSince: number | null;
  /** Steady time from which it leads. */
  readonly leaderSince: number;
  /** It computes far slower than it usually does. */
  readonly isProcessorSlow: boolean;
  /** It stood still, and has not caught up yet with what lay in its queues. */
  readonly isStalled: boolean;
  readonly unexpectedReports: number;
  /** As a leader. */
  readonly health: HealthCounts | null;
  readonly probeRound: ProbeRound;
  /** Machines that it knows of. */
  readonly machineCount: number;
}

/** What a rule may look at beside the peer in question. */
export interface EvidenceContext {
  readonly now: number;
  readonly timing: Timing;
  readonly local: LocalState;
  /** The controllers that are heard, without the one in question. */
  readonly witnesses: readonly Peer[];
}

/** One piece of evidence; its name appears in logs and on the status page. */
export interface EvidenceRule {
  readonly name: string;
  readonly holds: (peer: Peer, context: EvidenceContext) => boolean;
}

/** One silence in a thousand is as long. */
const SUSPICION_PHI = 3;
/** So many refusals in a row are no chance. */
const MIN_REFUSALS = 2;
/** So many unexpected reports are no coincidence. */
export const MIN_UNEXPECTED_REPORTS = 3;
/** Share of a round's probes that have to agree. */
const MIN_PROBE_AGREEMENT_SHARE = 0.75;
/** With fewer machines a few silent ones may be a coincidence. */
const MIN_MACHINES_FOR_SHARE = 3;
/** A leader that gets heartbeats from a larger share of its workers is connected. */
const MIN_REPORTING_SHARE = 0.5;
/** With fewer machines a short silence of all of them is normal. */
const MIN_MACHINES_FOR_SILENCE = 8;

/** How often controllers send their status and the leader its snapshots, in milliseconds. */
export const snapshotIntervalMs = (timing: Timing): number => 2 * timing.tickMs;

/** Whether a round is young enough to go by. */
const isRecent = ({ requested, startedAt }: ProbeRound, { now, timing }: EvidenceContext): boolean =>
  requested > 0 && now - startedAt < 2 * timing.maxHeartbeatIntervalMs;

/** Whether this node's probes reached hardly any machine in a round. */
const cannotReachMachines = (round: ProbeRound, context: EvidenceContext): boolean =>
  isRecent(round, context) && round.unreachable >= MIN_PROBE_AGREEMENT_SHARE * round.requested;

/** Whether a peer's probes reached nearly all machines of this node's latest round. */
const reachesMachines = (view: MemberStatus | null, round: ProbeRound, context: EvidenceContext): boolean =>
  isRecent(round, context) &&
  view?.probeRound === round.round &&
  view.reachable >= MIN_PROBE_AGREEMENT_SHARE * round.requested;

/** Whether a leader hears far fewer of its workers than should speak. */
export function isMissingHeartbeats(
  { health, laggingSince, timerLagMs }: LocalState,
  timing: Timing,
): boolean {
  // One that is behind hears late what was said in time.
  if (health === null || laggingSince !== null || timerLagMs > timing.tickMs / 4) return false;
  const { reporting, expected, silentMs } = health;
  return (
    (expected >= MIN_MACHINES_FOR_SILENCE && silentMs > 2 * timing.tickMs) ||
    (expected >= MIN_MACHINES_FOR_SHARE && reporting < MIN_REPORTING_SHARE * expected)
  );
}

/** Suspected: any one of these. */
const SUSPICION_RULES: readonly EvidenceRule[] = [
  { name: 'unusually silent', holds: ({ arrivals }, { now }) => arrivals.phi(now) >= SUSPICION_PHI },
  { name: 'link lost', holds: ({ linkLostAt }) => linkLostAt !== null },
  {
    name: 'behind its own timers',
    holds: ({ status }, { timing }) => (status?.timerLagMs ?? 0) > 2 * timing.tickMs,
  },
  {
    name: 'not served by the state service',
    holds: ({ status }, { timing, local }) =>
      (status?.storeContactAgeMs ?? 0) > 2 * timing.storeTimeoutMs &&
      local.storeContactAgeMs < 2 * timing.storeTimeoutMs,
  },
];

/** A leader has crashed, and may be succeeded before its lease is over: all of these. */
const CRASH_RULES: readonly EvidenceRule[] = [
  // A cut is silent; what is refused has a host that is there, and no such process on it.
  {
    name: 'refused since its last word',
    holds: ({ linkLostAt, consecutiveRefusals }) =>
      linkLostAt !== null && consecutiveRefusals >= MIN_REFUSALS,
  },
  // Something between the nodes that refuses for long says nothing of who is alive now.
  {
    name: 'refused of late',
    holds: ({ linkLostAt }, { now, timing }) =>
      linkLostAt !== null && now - linkLostAt < timing.leaderLeaseMs,
  },
  {
    name: 'no witness hears it',
    holds: ({ node, linkLostAt }, { witnesses }) =>
      witnesses.every(({ status, lastStatusAt }) =>
        status?.observations.some(
          (seen) =>
            seen.node === node && seen.linkState === 'refused' && (lastStatusAt ?? 0) >= (linkLostAt ?? 0),
        ),
      ),
  },
  {
    name: 'its workers have left it',
    holds: ({ status }, { local, witnesses }) => {
      const unexpectedReports = witnesses.reduce(
        (sum, witness) => sum + (witness.status?.unexpectedReports ?? 0),
        local.unexpectedReports,
      );
      return unexpectedReports >= Math.min(MIN_UNEXPECTED_REPORTS, status?.expected ?? 0);
    },
  },
  { name: 'this node has not stood still', holds: (_, { local }) => !local.isStalled },
  {
    name: 'the state service answers this node',
    holds: (_, { local, timing }) => local.storeContactAgeMs < 2 * timing.storeTimeoutMs,
  },
];

/** A peer that a leader may hand over to: all of these. */
const SUCCESSOR_RULES: readonly EvidenceRule[] = [
  {
    name: 'heard',
    holds: ({ arrivals, linkLostAt }, { now }) => linkLostAt === null && arrivals.phi(now) < SUSPICION_PHI,
  },
  {
    name: 'served',
    holds: ({ status }, { timing }) =>
      status !== null && status.storeContactAgeMs < 2 * timing.storeTimeoutMs,
  },
  // Contact between controllers says nothing of a peer's connection to the workers.
  {
    name: 'reaches the machines',
    holds: ({ status }, context) =>
      context.local.machineCount === 0 ||
      reachesMachines(status, context.local.probeRound, context) ||
      (status?.unexpectedReports ?? 0) >= MIN_UNEXPECTED_REPORTS,
  },
  {
    name: 'keeps up',
    holds: ({ status }, { timing }) => status !== null && status.timerLagMs < timing.tickMs,
  },
];

/** The reason of a transfer after which the node does not campaign until a worker has reported to it. */
export const MACHINES_UNREACHABLE = 'this node cannot reach its machines';

/** A leader hands over to a fit peer: any one of these. */
const TRANSFER_RULES: readonly EvidenceRule[] = [
  {
    name: MACHINES_UNREACHABLE,
    holds: (_, context) =>
      isMissingHeartbeats(context.local, context.timing) &&
      cannotReachMachines(context.local.probeRound, context),
  },
  // A leader that is only busy would make its successor as busy, and a failover adds work: the leadership would
  // go round among overloaded nodes.
  {
    name: 'this node cannot keep up, and computes slower than it did',
    holds: (_, { local, now, timing }) =>
      local.isProcessorSlow &&
      local.laggingSince !== null &&
      now - local.laggingSince > 2 * timing.maxHeartbeatIntervalMs &&
      // Whoever comes to lead has much to do at first, and may have it from one that was slow for its load.
      now - local.leaderSince > 2 * timing.workerLeaseMs,
  },
];

/** The rules for each verdict. */
export interface EvidenceRules {
  readonly suspected: readonly EvidenceRule[];
  readonly crashed: readonly EvidenceRule[];
  readonly eligibleSuccessor: readonly EvidenceRule[];
  readonly transfer: readonly EvidenceRule[];
}

/** The rules that are in force. */
export const EVIDENCE_RULES: EvidenceRules = {
  suspected: SUSPICION_RULES,
  crashed: CRASH_RULES,
  eligibleSuccessor: SUCCESSOR_RULES,
  transfer: TRANSFER_RULES,
};
