/** One walk over the machines at a tick: which zones are heard, and how many machines are silent together. */
import { isExpectedToReport } from './probes.js';
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
  readonly reachableZones: ReadonlySet<string>;
  /** Zones all of whose machines fell silent together. */
  readonly partitionedZones: ReadonlySet<string>;
  /** Some zone is apart, and nobody at all has been heard of late. */
  readonly hearsNobody: boolean;
  /** Of the machines that were heard, so many are silent that it is one event. */
  readonly isMassSilence: boolean;
  /** The same of those that should be up and were never heard by this leader. */
  readonly isMassNeverReported: boolean;
}

/** Whether a machine should be up; one still booting says nothing. */
const shouldBeUp = ({ terminationReason, lastHeartbeatAt, cloudStage, claims }: Machine): boolean =>
  terminationReason === null && (lastHeartbeatAt !== null || cloudStage === 'running' || claims.size > 0);

/**
 * Zones of which all machines fell silent together: more likely a cut between here and there than so
 * many deaths. A wave of withdrawals leaves some behind. Giving them all back would cost a boot of
 * each, where the end of the cut brings the proof at once.
 */
function zonesApart(state: CoreState, zones: ReadonlyMap<string, ZoneCounts>, now: Now): Set<string> {
  const { maxHeartbeatIntervalMs } = state.config.timing;
  const apart = new Set<string>();
  for (const [zone, { silent, up, last }] of zones) {
    // A machine known from claims alone, listed nowhere, is of no known zone, and likely gone.
    if (zone === '' || silent < 3 || silent <= 0.9 * up) continue;
    apart.add(zone);
    // What a leader before has seen of it counts: each takeover would begin the wait anew.
    state.silentZones.set(zone, Math.min(last, state.silentZones.get(zone) ?? Infinity));
  }
  for (const zone of state.silentZones.keys()) {
    if (
      !apart.has(zone) &&
      now.monotonicMs - (zones.get(zone)?.last ?? -Infinity) <= 3 * maxHeartbeatIntervalMs
    )
      state.silentZones.delete(zone);
  }
  return apart;
}

export function summarizeHealth(state: CoreState, now: Now): HealthSummary {
  const { maxHeartbeatIntervalMs, workerLeaseMs } = state.config.timing;
  const since = state.leadership?.since ?? now.monotonicMs;
  const zones = new Map<string, ZoneCounts>();
  let known = 0;
  let silent = 0;
  let up = 0;
  let unheard = 0;
  let expected = 0;
  let heard = 0;
  let latest = since;
  // One that has heard nobody at all need not wait as long as one that hears them by and by.
  const some = state.health !== null && state.health.neverReported < state.health.running;
  const patience = (some ? 3 : 1.5) * maxHeartbeatIntervalMs;
  for (const machine of state.machines.values()) {
    const { lastHeartbeatAt, discoveredAt, lastRelayedAt, zone, terminationReason } = machine;
    let counts = zones.get(zone);
    if (counts === undefined) {
      counts = { speaking: 0, heard: 0, up: 0, silent: 0, last: -Infinity };
      zones.set(zone, counts);
    }
    if (lastHeartbeatAt !== null && lastHeartbeatAt > latest) latest = lastHeartbeatAt;
    const justHeard =
      lastHeartbeatAt !== null && lastHeartbeatAt > now.monotonicMs - SOON * maxHeartbeatIntervalMs;
    if (isExpectedToReport(machine)) {
      counts.speaking += 1;
      if (justHeard) counts.heard += 1;
      // One silent for a whole lease is a matter of its own; one never heard had time to find this leader.
      if (
        lastHeartbeatAt === null
          ? now.monotonicMs - since > patience
          : lastHeartbeatAt > now.monotonicMs - workerLeaseMs
      ) {
        expected += 1;
        if (justHeard) heard += 1;
      }
    }
    if (shouldBeUp(machine)) {
      up += 1;
      counts.up += 1;
      counts.last = Math.max(counts.last, lastHeartbeatAt ?? discoveredAt);
      if (now.monotonicMs - (lastHeartbeatAt ?? discoveredAt) > 3 * maxHeartbeatIntervalMs)
        counts.silent += 1;
      if (lastHeartbeatAt === null) unheard += 1;
    }
    if (lastHeartbeatAt === null || terminationReason !== null) continue;
    known += 1;
    if (now.monotonicMs - Math.max(lastHeartbeatAt, lastRelayedAt ?? 0) > 3 * maxHeartbeatIntervalMs)
      silent += 1;
  }
  state.health = {
    reporting: heard,
    expected,
    running: up,
    neverReported: unheard,
    silentMs: now.monotonicMs - latest,
  };
  const awake = new Set<string>();
  for (const [zone, counts] of zones)
    if (counts.speaking > 0 && counts.heard >= LEAST_HEARD * counts.speaking) awake.add(zone);
  const apart = zonesApart(state, zones, now);
  return {
    reachableZones: awake,
    partitionedZones: apart,
    hearsNobody: apart.size > 0 && now.monotonicMs - latest >= 3 * maxHeartbeatIntervalMs,
    isMassSilence: silent > MOST_SILENT * known,
    isMassNeverReported: unheard > MOST_SILENT * up,
  };
}
