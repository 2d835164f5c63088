/**
 * Leader election as a state machine without I/O, clock or randomness. One transaction creates the leased
 * `leader` key and increments the persistent `term` key; the term is the fencing token that workers see. Every
 * write of a leader is conditional on the revision of `term`, so no write of an earlier leader takes effect
 * once a later one is elected. The lease protects no data: it only determines when other nodes campaign. A
 * leader that is known to have crashed, or that names its successor, may therefore be replaced before its lease
 * expires, on condition that its record still has the revision that was read.
 */
import type { LeaderRecord } from '../core/persistence/index.js';
import type { Timing } from '../core/timing.js';

/** A won election. */
export interface ElectionResult {
  readonly term: number;
  readonly modRevision: number;
  /** Monotonic time (ms) at which the winning transaction was sent. */
  readonly startedAt: number;
  /**
   * `gone`: the previous leader named this node as its successor, has crashed, or was this node itself;
   * `unknown`: it may still be running.
   */
  readonly previousLeader: 'gone' | 'unknown';
}

/** A key as read from the store; a `modRevision` of 0 means that it does not exist. */
export interface KeyState<T> {
  readonly value: T | null;
  readonly modRevision: number;
}

/** The leader record, and the store revision at which it was read: a watch from that revision misses no change. */
export interface LeaderKeyState extends KeyState<LeaderRecord> {
  readonly revision: number;
}

/** Outcome of a transaction; `unknown`: no answer arrived, and the transaction may have been applied. */
export type TransactionOutcome = 'applied' | 'failed' | 'unknown';

/**
 * Inputs of the state machine. An answer carries the round of its request. Answers to an earlier round are
 * ignored, except that a lease granted for an earlier round is revoked.
 */
export type ElectionEvent =
  | { readonly kind: 'start' }
  | { readonly kind: 'timerFired'; readonly round: number }
  | { readonly kind: 'leaderRead'; readonly round: number; readonly leader: LeaderKeyState | 'unknown' }
  | { readonly kind: 'leaderWatched'; readonly round: number; readonly answered: boolean }
  | {
      readonly kind: 'leaseGranted';
      readonly round: number;
      readonly lease: number | null;
      readonly term: KeyState<number> | 'unknown';
      readonly now: number;
    }
  | {
      readonly kind: 'campaigned';
      readonly round: number;
      readonly outcome: TransactionOutcome;
      readonly revision: number;
    }
  | {
      readonly kind: 'campaignVerified';
      readonly round: number;
      readonly leader: KeyState<LeaderRecord> | 'unknown';
      readonly term: KeyState<number> | 'unknown';
    }
  | { readonly kind: 'leaseRenewed'; readonly round: number; readonly alive: boolean | null }
  | {
      readonly kind: 'successorNamed';
      readonly round: number;
      readonly outcome: TransactionOutcome;
      readonly revision: number;
    }
  /** The command loop has stepped down: the lease is revoked, and the node campaigns again. */
  | { readonly kind: 'resign' }
  /** Every crash rule holds for the leader whose record has this revision. */
  | { readonly kind: 'replaceCrashedLeader'; readonly modRevision: number }
  /** This leader names its successor in its record. */
  | { readonly kind: 'transferLeadership'; readonly to: string };

/** What the state machine requests; each answer comes back as an event of the same round. */
export type ElectionEffect =
  | { readonly kind: 'wait'; readonly round: number; readonly ms: number }
  | { readonly kind: 'readLeader'; readonly round: number }
  | { readonly kind: 'watchLeader'; readonly round: number; readonly after: number; readonly ms: number }
  | { readonly kind: 'grantLease'; readonly round: number }
  | {
      readonly kind: 'campaign';
      readonly round: number;
      readonly lease: number;
      readonly record: LeaderRecord;
      readonly leaderRevision: number;
      readonly termRevision: number;
    }
  | { readonly kind: 'verifyCampaign'; readonly round: number }
  | { readonly kind: 'renewLease'; readonly round: number; readonly lease: number }
  | { readonly kind: 'revokeLease'; readonly lease: number }
  | {
      readonly kind: 'nameSuccessor';
      readonly round: number;
      readonly lease: number;
      readonly record: LeaderRecord;
      readonly leaderRevision: number;
      readonly termRevision: number;
    }
  | { readonly kind: 'elected'; readonly result: ElectionResult }
  /** This node no longer leads; another node may. */
  | { readonly kind: 'lost' }
  | { readonly kind: 'leaderObserved'; readonly leader: LeaderRecord | null; readonly modRevision: number };

/** State of the leadership that this node holds. */
interface HeldLeadership {
  readonly lease: number;
  readonly result: ElectionResult;
  /** Revision of the leader record, which changes when a successor is named; 0: unknown. */
  leaderRevision: number;
  namedSuccessor: string | null;
}

/** An attempt to be elected: its term, and the monotonic time (ms) at which it began. */
interface Campaign {
  readonly term: number;
  readonly termRevision: number;
  readonly startedAt: number;
}

/** The state machine's state, which `electionStep` changes in place. */
export interface ElectionState {
  readonly node: string;
  readonly incarnation: string;
  readonly timing: Timing;
  /** Delay before this node campaigns for a vacant leadership, in milliseconds, so that preferred nodes come first. */
  campaignDelayMs: number;
  phase: 'reading' | 'following' | 'granting' | 'campaigning' | 'verifying' | 'leading';
  /** The last round issued: every request gets a round number of its own. */
  lastRound: number;
  /** Round awaited in the current phase (a read, watch, lease, campaign or successor). */
  round: number;
  /** Round awaited by the lease renewals of this leader. */
  renewalRound: number;
  /** Round awaited by the watch of this leader's own record. */
  leaderWatchRound: number;
  /** Whether this node has already waited `campaignDelayMs` for the current vacancy. */
  hasDeferred: boolean;
  /** Revision of the leader record that this node follows. */
  followedRevision: number;
  /** The previous leader named this node as its successor, has crashed, or was this node itself. */
  isPreviousLeaderGone: boolean;
  lease: number | null;
  leaderRevision: number;
  campaign: Campaign | null;
  held: HeldLeadership | null;
}

/** The initial state of a node; the event `start` begins its first read. */
export function createElection(
  node: string,
  incarnation: string,
  timing: Timing,
  campaignDelayMs = 0,
): ElectionState {
  return {
    node,
    incarnation,
    timing,
    campaignDelayMs,
    phase: 'reading',
    lastRound: 0,
    round: 0,
    renewalRound: 0,
    leaderWatchRound: 0,
    hasDeferred: false,
    followedRevision: 0,
    isPreviousLeaderGone: false,
    lease: null,
    leaderRevision: 0,
    campaign: null,
    held: null,
  };
}

const nextRound = (state: ElectionState): number => (state.round = ++state.lastRound);
const nextRenewalRound = (state: ElectionState): number => (state.renewalRound = ++state.lastRound);
const nextLeaderWatchRound = (state: ElectionState): number => (state.leaderWatchRound = ++state.lastRound);

function readLeader(state: ElectionState): ElectionEffect[] {
  state.phase = 'reading';
  return [{ kind: 'readLeader', round: nextRound(state) }];
}

function readLeaderLater(state: ElectionState, ms: number): ElectionEffect[] {
  state.phase = 'reading';
  return [{ kind: 'wait', round: nextRound(state), ms }];
}

function requestLease(
  state: ElectionState,
  leaderRevision: number,
  isPreviousLeaderGone = false,
): ElectionEffect[] {
  state.phase = 'granting';
  state.isPreviousLeaderGone = isPreviousLeaderGone;
  state.leaderRevision = leaderRevision;
  return [{ kind: 'grantLease', round: nextRound(state) }];
}

function onLeaderRead(state: ElectionState, found: LeaderKeyState | 'unknown'): ElectionEffect[] {
  const { timing } = state;
  if (found === 'unknown') return readLeaderLater(state, timing.tickMs);
  const { value: leader, modRevision, revision } = found;
  if (modRevision === 0) {
    if (!state.hasDeferred && state.campaignDelayMs > 0) {
      state.hasDeferred = true;
      return readLeaderLater(state, state.campaignDelayMs);
    }
    state.hasDeferred = false;
    return requestLease(state, 0);
  }
  // The record names this node, which is not leading: its earlier leadership is over.
  if (leader?.node === state.node) return requestLease(state, modRevision, true);
  // The delay applies to each vacancy: otherwise a node that is not preferred would be elected at every second
  // change of leader, and would transfer the leadership again.
  state.hasDeferred = false;
  const observed: ElectionEffect = { kind: 'leaderObserved', leader, modRevision };
  if (leader?.successor === state.node) return [observed, ...requestLease(state, modRevision, true)];
  state.phase = 'following';
  state.followedRevision = modRevision;
  return [
    observed,
    { kind: 'watchLeader', round: nextRound(state), after: revision, ms: 4 * timing.leaderLeaseMs },
  ];
}

function onLeaseGranted(
  state: ElectionState,
  { lease, term, now }: Extract<ElectionEvent, { kind: 'leaseGranted' }>,
): ElectionEffect[] {
  if (lease === null || term === 'unknown')
    return [
      ...(lease === null ? [] : [{ kind: 'revokeLease', lease } as const]),
      ...readLeaderLater(state, state.timing.tickMs / 2),
    ];
  const nextTerm = (term.value ?? 0) + 1;
  state.phase = 'campaigning';
  state.lease = lease;
  state.campaign = { term: nextTerm, termRevision: term.modRevision, startedAt: now };
  return [
    {
      kind: 'campaign',
      round: nextRound(state),
      lease,
      record: { term: nextTerm, node: state.node, incarnation: state.incarnation },
      leaderRevision: state.leaderRevision,
      termRevision: term.modRevision,
    },
  ];
}

/**
 * Starts leading. If the campaign got no answer, part of the lease has already elapsed, so the lease is renewed
 * immediately; otherwise the first renewal follows after the usual interval.
 */
function becomeLeader(
  state: ElectionState,
  modRevision: number,
  leaderRevision: number,
  isUnanswered: boolean,
): ElectionEffect[] {
  const { lease, campaign, timing } = state;
  if (lease === null || campaign === null) return readLeader(state);
  const previousLeader = state.isPreviousLeaderGone ? 'gone' : 'unknown';
  const won: ElectionResult = {
    term: campaign.term,
    modRevision,
    startedAt: campaign.startedAt,
    previousLeader,
  };
  state.phase = 'leading';
  state.held = { lease, result: won, leaderRevision, namedSuccessor: null };
  state.lease = null;
  nextRound(state);
  return [
    { kind: 'elected', result: won },
    isUnanswered
      ? { kind: 'renewLease', round: nextRenewalRound(state), lease }
      : { kind: 'wait', round: nextRenewalRound(state), ms: timing.renewIntervalMs },
    ...watchOwnRecord(state, modRevision),
  ];
}

/**
 * Watches this leader's own record: another node may replace it before the lease expires. The watch begins at the
 * revision of the last read, not of the write: the store keeps a bounded history of changes, and a watch from an
 * older revision would end immediately each time it is repeated.
 */
function watchOwnRecord(state: ElectionState, after: number): ElectionEffect[] {
  return [
    { kind: 'watchLeader', round: nextLeaderWatchRound(state), after, ms: 4 * state.timing.leaderLeaseMs },
  ];
}

function loseLeadership(state: ElectionState, revoke: boolean): ElectionEffect[] {
  const { held } = state;
  state.held = null;
  nextRenewalRound(state);
  nextLeaderWatchRound(state);
  return [
    // The next candidate need not wait for the lease to expire.
    ...(revoke && held !== null ? [{ kind: 'revokeLease', lease: held.lease } as const] : []),
    { kind: 'lost' },
    ...readLeader(state),
  ];
}

function abandonCampaign(state: ElectionState): ElectionEffect[] {
  const { lease } = state;
  state.lease = null;
  state.campaign = null;
  return [
    ...(lease === null ? [] : [{ kind: 'revokeLease', lease } as const]),
    ...readLeaderLater(state, state.timing.tickMs / 2),
  ];
}

/** Handles a read of the leader record: if it is not this leader's own, the leadership is lost. */
function onOwnRecordRead(
  state: ElectionState,
  held: HeldLeadership,
  leader: LeaderKeyState | 'unknown',
): ElectionEffect[] {
  if (leader === 'unknown')
    return [{ kind: 'wait', round: nextLeaderWatchRound(state), ms: state.timing.tickMs }];
  const { value, modRevision, revision } = leader;
  const isOwn = value?.incarnation === state.incarnation && value.term === held.result.term;
  if (!isOwn)
    return [{ kind: 'leaderObserved', leader: value, modRevision }, ...loseLeadership(state, false)];
  held.leaderRevision = modRevision;
  return watchOwnRecord(state, revision);
}

/** Handles an event while this node leads. */
function stepAsLeader(state: ElectionState, held: HeldLeadership, event: ElectionEvent): ElectionEffect[] {
  switch (event.kind) {
    case 'timerFired':
      if (event.round === state.renewalRound)
        return [{ kind: 'renewLease', round: state.renewalRound, lease: held.lease }];
      // The named successor has not taken over in time: this leader resigns, and any node may campaign.
      return event.round === state.round && held.namedSuccessor !== null ? loseLeadership(state, true) : [];
    case 'leaseRenewed': {
      if (event.round !== state.renewalRound) return [];
      if (event.alive === false) return loseLeadership(state, false);
      // An unanswered renewal has used up part of the lease, so the next one follows after at most one tick.
      const { renewIntervalMs, tickMs } = state.timing;
      const ms = event.alive === null ? Math.min(renewIntervalMs, tickMs) : renewIntervalMs;
      return [{ kind: 'wait', round: nextRenewalRound(state), ms }];
    }
    case 'leaderWatched':
      if (event.round !== state.leaderWatchRound) return [];
      return event.answered
        ? [{ kind: 'readLeader', round: nextLeaderWatchRound(state) }]
        : [{ kind: 'wait', round: nextLeaderWatchRound(state), ms: state.timing.tickMs }];
    case 'leaderRead':
      return event.round === state.leaderWatchRound ? onOwnRecordRead(state, held, event.leader) : [];
    case 'resign':
      return loseLeadership(state, true);
    case 'transferLeadership':
      if (held.namedSuccessor !== null) return [];
      held.namedSuccessor = event.to;
      return [
        {
          kind: 'nameSuccessor',
          round: nextRound(state),
          lease: held.lease,
          record: {
            term: held.result.term,
            node: state.node,
            incarnation: state.incarnation,
            successor: event.to,
          },
          leaderRevision: held.leaderRevision,
          termRevision: held.result.modRevision,
        },
      ];
    case 'successorNamed':
      if (event.round !== state.round) return [];
      // Whatever the outcome, this leader resigns if it still leads after the wait, and any node may campaign.
      if (event.outcome === 'applied') held.leaderRevision = event.revision;
      return [{ kind: 'wait', round: state.round, ms: 4 * state.timing.tickMs }];
    default:
      return [];
  }
}

/** Applies one event to the state and returns the effects that follow from it. */
export function electionStep(state: ElectionState, event: ElectionEvent): ElectionEffect[] {
  if (event.kind === 'start') return readLeader(state);
  if (state.held !== null) {
    if (event.kind === 'timerFired' && event.round === state.leaderWatchRound)
      return [{ kind: 'readLeader', round: nextLeaderWatchRound(state) }];
    return stepAsLeader(state, state.held, event);
  }
  switch (event.kind) {
    case 'timerFired':
      return event.round === state.round && state.phase === 'reading' ? readLeader(state) : [];
    case 'leaderRead':
      return event.round === state.round && state.phase === 'reading'
        ? onLeaderRead(state, event.leader)
        : [];
    case 'leaderWatched':
      if (event.round !== state.round || state.phase !== 'following') return [];
      return event.answered ? readLeader(state) : readLeaderLater(state, state.timing.tickMs);
    case 'replaceCrashedLeader':
      return state.phase === 'following' && event.modRevision === state.followedRevision
        ? requestLease(state, event.modRevision, true)
        : [];
    case 'leaseGranted':
      if (event.round !== state.round || state.phase !== 'granting')
        return event.lease === null ? [] : [{ kind: 'revokeLease', lease: event.lease }];
      return onLeaseGranted(state, event);
    case 'campaigned':
      if (event.round !== state.round || state.phase !== 'campaigning') return [];
      if (event.outcome === 'applied') return becomeLeader(state, event.revision, event.revision, false);
      if (event.outcome === 'failed') return abandonCampaign(state);
      state.phase = 'verifying';
      return [{ kind: 'verifyCampaign', round: nextRound(state) }];
    case 'campaignVerified': {
      if (event.round !== state.round || state.phase !== 'verifying') return [];
      const { leader, term } = event;
      const attempt = state.campaign;
      // The transaction got no answer: it was applied if the store holds the record and the term of this campaign.
      const won =
        leader !== 'unknown' &&
        term !== 'unknown' &&
        attempt !== null &&
        leader.value?.incarnation === state.incarnation &&
        leader.value.term === attempt.term &&
        term.value === attempt.term;
      return won ? becomeLeader(state, term.modRevision, leader.modRevision, true) : abandonCampaign(state);
    }
    default:
      return [];
  }
}
