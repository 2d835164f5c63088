/**
 * Rules that decide which evidence allows which action. Any one rule suffices to suspect a peer, which is
 * reversible, or to transfer the leadership; a leader counts as crashed, or a peer as an eligible successor, only
 * if every rule of the list holds. docs/suspicion.md explains what each rule protects against, and
 * test/membership.test.ts removes each of them once.
 */
import type { Timing } from '../core/timing.js';
import type { Incarnations } from './incarnations.js';
import type { InterArrivalTracker } from './inter-arrival-tracker.js';
import type { HealthCounts, LinkState, ProbeRound, MemberStatus } from './status.js';

/** What this node knows about another controller; times are monotonic, in milliseconds. */
export interface Peer {
  readonly node: string;
  status: MemberStatus | null;
  lastStatusAt: number | null;
  /** Monotonic time since which statuses of its current incarnation have arrived without a gap. */
  contactSince: number;
  readonly arrivals: InterArrivalTracker;
  linkState: LinkState;
  /**
   * Monotonic time at which the link was lost or refused after the peer had sent a status; null: it was not, or
   * has recovered since.
   */
  linkLostAt: number | null;
  /** Refusals of the link since it was lost or last up. */
  consecutiveRefusals: number;
  readonly incarnations: Incarnations;
}

/** State of this node itself. */
export interface LocalState {
  readonly storeContactAgeMs: number;
  readonly timerLagMs: number;
  /** Monotonic time (ms) since which its timers have been late; null: they fire in time. */
  readonly laggingSince: number | null;
  /** Monotonic time (ms) since which it leads; Infinity: it does not lead. */
  readonly leaderSince: number;
  /** Whether it computes far more slowly than usual. */
  readonly isProcessorSlow: boolean;
  /** Whether it was stalled and has not yet worked off the messages that were queued during the stall. */
  readonly isStalled: boolean;
  readonly unexpectedReports: number;
  /** Counts of the machines from which it gets heartbeats; null: it does not lead. */
  readonly health: HealthCounts | null;
  readonly probeRound: ProbeRound;
  /** Number of machines in its state. */
  readonly machineCount: number;
}

/** Inputs of a rule besides the peer that it assesses. */
export interface EvidenceContext {
  readonly now: number;
  readonly timing: Timing;
  readonly local: LocalState;
  /** The other controllers, except the assessed one, that are in contact over an unbroken link. */
  readonly witnesses: readonly Peer[];
}

/** One piece of evidence; its name appears in logs and on the status page. */
export interface EvidenceRule {
  readonly name: string;
  readonly holds: (peer: Peer, context: EvidenceContext) => boolean;
}

/** A silence of at least this phi is unusual: one silence in 1000 lasts this long. */
const SUSPICION_PHI = 3;
/** Refusals needed as evidence of a crash: a single one may come from a host with a full socket table. */
const MIN_REFUSALS = 2;
/** Workers with unexpected heartbeats that are needed as evidence; fewer may be a coincidence. */
export const MIN_UNEXPECTED_REPORTS = 3;
/** Share of a round's probes that have to agree. */
const MIN_PROBE_AGREEMENT_SHARE = 0.75;
/** With fewer machines a few silent ones may be a coincidence. */
const MIN_MACHINES_FOR_SHARE = 3;
/** A leader that receives heartbeats from at least this share of the expected machines counts as connected. */
const MIN_REPORTING_SHARE = 0.5;
/** With fewer machines a short silence of all of them is normal. */
const MIN_MACHINES_FOR_SILENCE = 8;

/** How often controllers send their status and the leader its snapshots, in milliseconds. */
export const snapshotIntervalMs = (timing: Timing): number => 2 * timing.tickMs;

/** Whether a probe round is recent enough to count as evidence. */
const isRecent = ({ requested, startedAt }: ProbeRound, { now, timing }: EvidenceContext): boolean =>
  requested > 0 && now - startedAt < 2 * timing.maxHeartbeatIntervalMs;

/** Whether this node's probes reached hardly any machine in a round. */
const cannotReachMachines = (round: ProbeRound, context: EvidenceContext): boolean =>
  isRecent(round, context) && round.unreachable >= MIN_PROBE_AGREEMENT_SHARE * round.requested;

/** Whether a peer's probes reached nearly all machines of this node's latest round. */
const reachesMachines = (status: MemberStatus | null, round: ProbeRound, context: EvidenceContext): boolean =>
  isRecent(round, context) &&
  status?.probeRound === round.round &&
  status.reachable >= MIN_PROBE_AGREEMENT_SHARE * round.requested;

/** Whether a leader receives heartbeats from far fewer of its workers than expected. */
export function isMissingHeartbeats(
  { health, laggingSince, timerLagMs }: LocalState,
  timing: Timing,
): boolean {
  // A node whose timers are late also processes heartbeats late that arrived in time.
  if (health === null || laggingSince !== null || timerLagMs > timing.tickMs / 4) return false;
  const { reporting, expected, silentMs } = health;
  return (
    (expected >= MIN_MACHINES_FOR_SILENCE && silentMs > 2 * timing.tickMs) ||
    (expected >= MIN_MACHINES_FOR_SHARE && reporting < MIN_REPORTING_SHARE * expected)
  );
}

/** A peer is suspected if any one of these rules holds. */
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

/** A leader counts as crashed, and may be replaced before its lease expires, if all of these rules hold. */
const CRASH_RULES: readonly EvidenceRule[] = [
  // A network partition leaves connections unanswered; a refusal comes from a reachable host on which no controller
  // listens.
  {
    name: 'refused since its last word',
    holds: ({ linkLostAt, consecutiveRefusals }) =>
      linkLostAt !== null && consecutiveRefusals >= MIN_REFUSALS,
  },
  // A packet filter between the nodes also refuses connections, for as long as it is in place: refusals that began
  // long ago do not show that the leader is down now.
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
          (observation) =>
            observation.node === node &&
            observation.linkState === 'refused' &&
            (lastStatusAt ?? 0) >= (linkLostAt ?? 0),
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

/** A leader may transfer its leadership to a peer for which all of these rules hold. */
const SUCCESSOR_RULES: readonly EvidenceRule[] = [
  {
    name: 'responsive',
    holds: ({ arrivals, linkLostAt }, { now }) => linkLostAt === null && arrivals.phi(now) < SUSPICION_PHI,
  },
  {
    name: 'served',
    holds: ({ status }, { timing }) =>
      status !== null && status.storeContactAgeMs < 2 * timing.storeTimeoutMs,
  },
  // Contact between controllers says nothing about a peer's connection to the workers.
  {
    name: 'reaches the machines',
    holds: ({ status }, context) =>
      context.local.machineCount === 0 ||
      reachesMachines(status, context.local.probeRound, context) ||
      (status?.unexpectedReports ?? 0) >= MIN_UNEXPECTED_REPORTS,
  },
  {
    name: 'its timers fire in time',
    holds: ({ status }, { timing }) => status !== null && status.timerLagMs < timing.tickMs,
  },
];

/** The reason of a transfer after which this node lets the others campaign first until it receives a heartbeat. */
export const MACHINES_UNREACHABLE = 'this node cannot reach its machines';

/** A leader transfers its leadership to an eligible peer if any one of these rules holds. */
const TRANSFER_RULES: readonly EvidenceRule[] = [
  {
    name: MACHINES_UNREACHABLE,
    holds: (_, context) =>
      isMissingHeartbeats(context.local, context.timing) &&
      cannotReachMachines(context.local.probeRound, context),
  },
  // If a leader is merely overloaded, its successor would be as well, and a failover adds work: the leadership
  // would circulate among overloaded nodes.
  {
    name: 'this node cannot keep up, and computes slower than it did',
    holds: (_, { local, now, timing }) =>
      local.isProcessorSlow &&
      local.laggingSince !== null &&
      now - local.laggingSince > 2 * timing.maxHeartbeatIntervalMs &&
      // A new leader has much work at first, and may have taken over from one that was slow because of its load.
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

/** The rules in force. */
export const EVIDENCE_RULES: EvidenceRules = {
  suspected: SUSPICION_RULES,
  crashed: CRASH_RULES,
  eligibleSuccessor: SUCCESSOR_RULES,
  transfer: TRANSFER_RULES,
};
