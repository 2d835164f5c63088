/** Seeded random numbers, so that a run's jobs and faults are the same each time. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

const STEPS = 0x3fffffff;

/** Returns a generator of numbers from 0 to 1 (exclusive) that depends only on the seed. */
export function seededDraw(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, STEPS, generator) / (STEPS + 1);
}

/** A number from 0 to 1 (exclusive) that depends only on the text. */
export function hashShare(text: string): number {
  let hash = 2166136261;
  for (let i = 0; i < text.length; i += 1) hash = Math.imul(hash ^ text.charCodeAt(i), 16777619);
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
}
