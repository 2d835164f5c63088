/**
 * Leadership, as a state machine without I/O, clock or randomness. One transaction creates the leased
 * `leader` key and raises the lasting `term` key; the term is the token that workers see. Whatever a
 * leader writes is conditional on the revision of `term`, so nothing that an earlier leader sent takes
 * effect once a later one is elected. The lease protects no data: it only tells when to campaign. So a
 * leader that is known to be gone may be succeeded before it is over, on condition of its record's
 * revision, and so may one that names its successor.
 */
import type { LeaderRecord } from '../core/persistence/index.js';
import type { Timing } from '../core/timing.js';

/** A won election. */
export interface ElectionResult {
  readonly term: number;
  readonly modRevision: number;
  /** Steady time at which the winning transaction was sent. */
  readonly startedAt: number;
  /** What is known of the leader before: it named this node, or has crashed; else nothing. */
  readonly previousLeader: 'gone' | 'unknown';
}

/** A key as read; a revision of 0: it does not exist. */
export interface KeyState<T> {
  readonly value: T | null;
  readonly modRevision: number;
}

/** The leader's record, and the revision as of which it stood so: a watch from there misses nothing. */
export interface LeaderKeyState extends KeyState<LeaderRecord> {
  readonly revision: number;
}

/** What became of a transaction; `unknown`: it got no answer, and may have been applied. */
export type TransactionOutcome = 'applied' | 'failed' | 'unknown';

/** What happens to the machine. Answers carry the round they belong to; those of an earlier one are void. */
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
  /** The leader of the record with this revision has crashed for all the evidence there is. */
  | { readonly kind: 'replaceCrashedLeader'; readonly modRevision: number }
  /** This leader names its successor in its record. */
  | { readonly kind: 'transferLeadership'; readonly to: string };

/** What the machine asks for; answers come back as events of the same round. */
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
  /** Another may lead. */
  | { readonly kind: 'lost' }
  | { readonly kind: 'leaderObserved'; readonly leader: LeaderRecord | null; readonly modRevision: number };

/** What a node knows of the leadership that it holds. */
interface HeldLeadership {
  readonly lease: number;
  readonly result: ElectionResult;
  /** Stamp of the leader record, which naming a successor moves on; 0: not known. */
  leaderRevision: number;
  namedSuccessor: string | null;
}

/** An attempt to be elected: the term it is for, and the steady time (ms) at which it was begun. */
interface Campaign {
  readonly term: number;
  readonly termRevision: number;
  readonly startedAt: number;
}

/** The state machine's state; it is changed in place. */
export interface ElectionState {
  readonly node: string;
  readonly incarnation: string;
  readonly timing: Timing;
  /** How long this node waits before it campaigns, in milliseconds, so that preferred ones come first. */
  campaignDelayMs: number;
  phase: 'reading' | 'following' | 'granting' | 'campaigning' | 'verifying' | 'leading';
  /** Every question has a round of its own; these are the ones awaited: of the main course, */
  lastRound: number;
  round: number;
  /** of the renewals, and of the look at the record while leading. */
  renewalRound: number;
  leaderWatchRound: number;
  /** It has waited out its handicap for the leadership that is free now. */
  hasDeferred: boolean;
  /** Stamp of the record that it follows. */
  followedRevision: number;
  /** The leader before has named this node, or crashed. */
  isPreviousLeaderGone: boolean;
  lease: number | null;
  leaderRevision: number;
  campaign: Campaign | null;
  held: HeldLeadership | null;
}

/** The state of a node that has not begun yet: the event `start` begins. */
export function createElection(
  node: string,
  incarnation: string,
  timing: Timing,
  handicap = 0,
): ElectionState {
  return {
    node,
    incarnation,
    timing,
    campaignDelayMs: handicap,
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

function requestLease(state: ElectionState, leaderRevision: number, gone = false): ElectionEffect[] {
  state.phase = 'granting';
  state.isPreviousLeaderGone = gone;
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
  // An earlier life of this very node is over.
  if (leader?.node === state.node) return requestLease(state, modRevision, true);
  // The delay applies anew each time the leadership is free, or a node that is not preferred would be elected at
  // every other change and transfer the leadership again.
  state.hasDeferred = false;
  const known: ElectionEffect = { kind: 'leaderObserved', leader, modRevision };
  if (leader?.successor === state.node) return [known, ...requestLease(state, modRevision, true)];
  state.phase = 'following';
  state.followedRevision = modRevision;
  return [
    known,
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
  const next = (term.value ?? 0) + 1;
  state.phase = 'campaigning';
  state.lease = lease;
  state.campaign = { term: next, termRevision: term.modRevision, startedAt: now };
  return [
    {
      kind: 'campaign',
      round: nextRound(state),
      lease,
      record: { term: next, node: state.node, incarnation: state.incarnation },
      leaderRevision: state.leaderRevision,
      termRevision: term.modRevision,
    },
  ];
}

/**
 * This node leads. After an unanswered campaign part of the lease has already run, so it is renewed at once; else
 * the first renewal comes after the usual interval.
 */
function becomeLeader(
  state: ElectionState,
  modRevision: number,
  leaderRevision: number,
  unseen: boolean,
): ElectionEffect[] {
  const { lease, campaign, timing } = state;
  if (lease === null || campaign === null) return readLeader(state);
  const before = state.isPreviousLeaderGone ? 'gone' : 'unknown';
  const won: ElectionResult = {
    term: campaign.term,
    modRevision,
    startedAt: campaign.startedAt,
    previousLeader: before,
  };
  state.phase = 'leading';
  state.held = { lease, result: won, leaderRevision, namedSuccessor: null };
  state.lease = null;
  nextRound(state);
  return [
    { kind: 'elected', result: won },
    unseen
      ? { kind: 'renewLease', round: nextRenewalRound(state), lease }
      : { kind: 'wait', round: nextRenewalRound(state), ms: timing.renewIntervalMs },
    ...watchOwnRecord(state, modRevision),
  ];
}

/**
 * Watches this leader's own record: another may replace it before the lease expires. The watch begins at the
 * revision of the last read, not of the write: the store keeps a bounded history of changes, and a watch from an
 * older revision would end at once, again and again.
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

/** This leader's record as it was read: another one means that the leadership is lost. */
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

/** An event while this node leads. */
function stepAsLeader(state: ElectionState, held: HeldLeadership, event: ElectionEvent): ElectionEffect[] {
  switch (event.kind) {
    case 'timerFired':
      if (event.round === state.renewalRound)
        return [{ kind: 'renewLease', round: state.renewalRound, lease: held.lease }];
      // The successor that was named has not come: anybody may.
      return event.round === state.round && held.namedSuccessor !== null ? loseLeadership(state, true) : [];
    case 'leaseRenewed': {
      if (event.round !== state.renewalRound) return [];
      if (event.alive === false) return loseLeadership(state, false);
      // Without an answer so much of the lease is gone that there is no time to wait as long.
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
      // Whatever came of it, the successor or anybody has the lead before long.
      if (event.outcome === 'applied') held.leaderRevision = event.revision;
      return [{ kind: 'wait', round: state.round, ms: 4 * state.timing.tickMs }];
    default:
      return [];
  }
}

/** One event into the machine, and what follows from it. */
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
      const sought = state.campaign;
      // No answer to the transaction: it counts if our own record of this life stands there.
      const won =
        leader !== 'unknown' &&
        term !== 'unknown' &&
        sought !== null &&
        leader.value?.incarnation === state.incarnation &&
        leader.value.term === sought.term &&
        term.value === sought.term;
      return won ? becomeLeader(state, term.modRevision, leader.modRevision, true) : abandonCampaign(state);
    }
    default:
      return [];
  }
}
