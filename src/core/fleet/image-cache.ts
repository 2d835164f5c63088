/**
 * Estimated contents of each machine's image cache. Workers do not report it: a machine is assumed to hold the
 * images that its tasks ran from, and to evict the least recently used ones when they no longer fit.
 */
import type { Machine } from '../model.js';
import type { CoreState } from '../state.js';

function dropImage(state: CoreState, machine: Machine, image: string): void {
  machine.cachedImages.delete(image);
  const holders = state.machinesByImage.get(image);
  holders?.delete(machine);
  if (holders?.size === 0) state.machinesByImage.delete(image);
}

/** Clears the image cache of a machine whose worker has begun a new agent epoch, or that has been terminated. */
export function dropAllImages(state: CoreState, machine: Machine): void {
  for (const image of [...machine.cachedImages.keys()]) dropImage(state, machine, image);
}

/** Records that a machine uses an image of `imageGb` gigabytes, and evicts the least recently used. */
export function recordImageUse(state: CoreState, machine: Machine, image: string, imageGb: number): void {
  // Deleting the image first moves it to the end: the map's insertion order is the order of use.
  machine.cachedImages.delete(image);
  machine.cachedImages.set(image, imageGb);
  const holders = state.machinesByImage.get(image);
  if (holders === undefined) state.machinesByImage.set(image, new Set([machine]));
  else holders.add(machine);
  evictLeastRecentlyUsed(state, machine, image);
}

function evictLeastRecentlyUsed(state: CoreState, machine: Machine, inUse: string): void {
  const cacheGb = state.machineTypes.get(machine.type)?.cacheGb ?? 0;
  let usedGb = 0;
  for (const size of machine.cachedImages.values()) usedGb += size;
  for (const [oldest, size] of machine.cachedImages) {
    if (usedGb <= cacheGb || oldest === inUse) break;
    dropImage(state, machine, oldest);
    usedGb -= size;
  }
}
