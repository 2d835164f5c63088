/** Injects the scenario's faults into the emulated cloud, workers and key-value store and into the real controllers. */
import { storeHost } from './addresses.js';
import type { Controllers } from './controllers.js';
import type { Cloud } from './emulator/cloud.js';
import type { ToStore } from './messages.js';
import type { Fault } from './scenario.js';

/** The components that faults act on. */
export interface FaultTargets {
  readonly cloud: Cloud;
  readonly controllers: Controllers;
  readonly zones: readonly string[];
  readonly draw: () => number;
  /** Index of the leader that the controllers reported last. */
  leader(): number;
  sendToStore(message: ToStore): void;
  hang(names: readonly string[], forMs: number): void;
  /** Called when a controller has been killed or started again. */
  onControllerChange(index: number, up: boolean): void;
}

function choose<T>(items: readonly T[], count: number, draw: () => number): T[] {
  const remaining = [...items];
  const chosen: T[] = [];
  while (chosen.length < count && remaining.length > 0)
    chosen.push(...remaining.splice(Math.floor(draw() * remaining.length), 1));
  return chosen;
}

function killAndRestart(targets: FaultTargets, index: number, restartAfterMs: number): void {
  targets.controllers.kill(index);
  targets.onControllerChange(index, false);
  setTimeout(() => {
    targets.controllers.start(index);
    targets.onControllerChange(index, true);
  }, restartAfterMs);
}

/** Injects one fault and returns a description of what was done. */
export function injectFault(fault: Fault, targets: FaultTargets): string {
  const { cloud, controllers, draw } = targets;
  const names = cloud.running.map(({ name }) => name);
  const leader = targets.leader();
  const chosenController = (which: 'leader' | 'follower'): number =>
    which === 'leader' ? leader : (leader + 1) % controllers.names.length;
  switch (fault.kind) {
    case 'workers_die': {
      const dead = choose(names, fault.count, draw);
      cloud.kill(dead);
      return `${dead.length} workers die`;
    }
    case 'workers_hang': {
      const hanging = choose(names, fault.count, draw);
      targets.hang(hanging, 1000 * fault.forS);
      return `${hanging.length} workers hang for ${fault.forS} s`;
    }
    case 'rack': {
      // Machines of a rack were rented together in one zone, so their names are adjacent.
      const zone = targets.zones[Math.floor(draw() * targets.zones.length)] ?? '';
      const inZone = cloud.running.filter((machine) => machine.zone === zone).map(({ name }) => name);
      const first = Math.floor(draw() * Math.max(1, inZone.length - fault.count));
      const dead = inZone.slice(first, first + fault.count);
      cloud.kill(dead);
      return `a rack of ${dead.length} workers in ${zone} dies`;
    }
    case 'zone': {
      const zone = targets.zones[fault.zone - 1] ?? '';
      const dead = cloud.running.filter((machine) => machine.zone === zone).map(({ name }) => name);
      cloud.kill(dead);
      cloud.closeZone(zone, 1000 * fault.forS);
      const inZone = controllers.names.flatMap((_, i) => (controllers.zoneOf(i) === zone ? [i] : []));
      for (const index of inZone) killAndRestart(targets, index, 1000 * fault.forS);
      return `${zone} is lost for ${fault.forS} s: ${dead.length} workers, ${inZone.length} controllers`;
    }
    case 'controller': {
      const index = chosenController(fault.which);
      killAndRestart(targets, index, 1000 * fault.forS);
      return `${controllers.names[index] ?? ''} (${fault.which}) is killed, back after ${fault.forS} s`;
    }
    case 'state_refused': {
      const index = chosenController(fault.which);
      targets.sendToStore({ kind: 'refuse', address: storeHost(index), forMs: 1000 * fault.forS });
      return `the state service refuses ${controllers.names[index] ?? ''} (${fault.which}) for ${fault.forS} s`;
    }
    case 'state_outage':
      targets.sendToStore({ kind: 'outage', forMs: 1000 * fault.forS });
      return `the state service is out for ${fault.forS} s`;
  }
}
