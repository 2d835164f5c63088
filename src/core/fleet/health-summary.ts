/** One walk over the machines at a tick: which zones are heard, and how many machines are silent together. */
import { shouldSpeak } from './probing.js';
import type { Machine, Now } from '../model.js';
import type { CoreState } from '../state.js';

/** A zone of which a smaller share is heard may be cut off, or this node be. */
const LEAST_HEARD = 0.5;
/** More silent machines than this share are no chance: the fault may be this node's own. */
const MOST_SILENT = 0.3;
/** Within so many of the longest time between two reports every machine is heard that can be. */
const SOON = 1.1;

interface ZoneCounts {
  /** Machines that should speak, and those heard within one report's time. */
  speaking: number;
  heard: number;
  /** Those that should be up, those of them silent for long, and when any was last heard. */
  up: number;
  silent: number;
  last: number;
}

export interface HealthSummary {
  /** Zones most of whose machines have been heard within one report's time. */
  readonly awake: ReadonlySet<string>;
  /** Zones all of whose machines fell silent together. */
  readonly apart: ReadonlySet<string>;
  /** Some zone is apart, and nobody at all has been heard of late. */
  readonly deaf: boolean;
  /** Of the machines that were heard, so many are silent that it is one event. */
  readonly mostSilent: boolean;
  /** The same of those that should be up and were never heard by this leader. */
  readonly mostUnheard: boolean;
}

/** Whether a machine should be up; one still booting says nothing. */
const shouldBeUp = ({ leaving, heardAt, listed, claims }: Machine): boolean =>
  leaving === null && (heardAt !== null || listed === 'running' || claims.size > 0);

/**
 * Zones of which all machines fell silent together: more likely a cut between here and there than so
 * many deaths. A wave of withdrawals leaves some behind. Giving them all back would cost a boot of
 * each, where the end of the cut brings the proof at once.
 */
function zonesApart(state: CoreState, zones: ReadonlyMap<string, ZoneCounts>, now: Now): Set<string> {
  const { longestReport } = state.rules.timing;
  const apart = new Set<string>();
  for (const [zone, { silent, up, last }] of zones) {
    // A machine known from claims alone, listed nowhere, is of no known zone, and likely gone.
    if (zone === '' || silent < 3 || silent <= 0.9 * up) continue;
    apart.add(zone);
    // What a leader before has seen of it counts: each takeover would begin the wait anew.
    state.quiet.set(zone, Math.min(last, state.quiet.get(zone) ?? Infinity));
  }
  for (const zone of state.quiet.keys()) {
    if (!apart.has(zone) && now.mono - (zones.get(zone)?.last ?? -Infinity) <= 3 * longestReport)
      state.quiet.delete(zone);
  }
  return apart;
}

export function summarizeHealth(state: CoreState, now: Now): HealthSummary {
  const { longestReport, workerLease } = state.rules.timing;
  const since = state.leadership?.since ?? now.mono;
  const zones = new Map<string, ZoneCounts>();
  let known = 0;
  let silent = 0;
  let up = 0;
  let unheard = 0;
  let expected = 0;
  let heard = 0;
  let latest = since;
  // One that has heard nobody at all need not wait as long as one that hears them by and by.
  const some = state.hearing !== null && state.hearing.unheard < state.hearing.up;
  const patience = (some ? 3 : 1.5) * longestReport;
  for (const machine of state.machines.values()) {
    const { heardAt, knownAt, relayedAt, zone, leaving } = machine;
    let counts = zones.get(zone);
    if (counts === undefined) {
      counts = { speaking: 0, heard: 0, up: 0, silent: 0, last: -Infinity };
      zones.set(zone, counts);
    }
    if (heardAt !== null && heardAt > latest) latest = heardAt;
    const justHeard = heardAt !== null && heardAt > now.mono - SOON * longestReport;
    if (shouldSpeak(machine)) {
      counts.speaking += 1;
      if (justHeard) counts.heard += 1;
      // One silent for a whole lease is a matter of its own; one never heard had time to find this leader.
      if (heardAt === null ? now.mono - since > patience : heardAt > now.mono - workerLease) {
        expected += 1;
        if (justHeard) heard += 1;
      }
    }
    if (shouldBeUp(machine)) {
      up += 1;
      counts.up += 1;
      counts.last = Math.max(counts.last, heardAt ?? knownAt);
      if (now.mono - (heardAt ?? knownAt) > 3 * longestReport) counts.silent += 1;
      if (heardAt === null) unheard += 1;
    }
    if (heardAt === null || leaving !== null) continue;
    known += 1;
    if (now.mono - Math.max(heardAt, relayedAt ?? 0) > 3 * longestReport) silent += 1;
  }
  state.hearing = { heard, expected, up, unheard, silentMs: now.mono - latest };
  const awake = new Set<string>();
  for (const [zone, counts] of zones)
    if (counts.speaking > 0 && counts.heard >= LEAST_HEARD * counts.speaking) awake.add(zone);
  const apart = zonesApart(state, zones, now);
  return {
    awake,
    apart,
    deaf: apart.size > 0 && now.mono - latest >= 3 * longestReport,
    mostSilent: silent > MOST_SILENT * known,
    mostUnheard: unheard > MOST_SILENT * up,
  };
}
