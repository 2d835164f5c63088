/** When two troubles meet: the users' list, and days on which any two or three of all troubles do. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { drawMeetings, LONGEST_RUN } from './standins/troubles.js';
import { seeded, World } from './standins/world.js';

/** The last trouble of a meeting day is over by then; after it all that was accepted ends. */
const CALM = 240_000;
const END = CALM + 3 * LONGEST_RUN;

async function playMeetings(seed: number, meetings: number): Promise<{ world: World; met: string[] }> {
  const world = new World(seeded(seed), { copies: true });
  const met: string[] = [];
  drawMeetings(world, meetings, (name) => met.push(`${(world.clock.now / 1000).toFixed(1)} ${name}`));
  await world.clock.runUntil(END);
  world.checker.lookForForgotten(CALM, END);
  return { world, met };
}

test('days on which two or three troubles meet: no rule is broken, all that was accepted ends', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.integer({ min: 1, max: 3 }),
      async (seed, meetings) => {
        const { world, met } = await playMeetings(seed, meetings);
        expect({ met, broken: world.checker.broken }).toEqual({ met, broken: [] });
        expect({ met, unfinished: world.checker.unfinished() }).toEqual({ met, unfinished: [] });
        expect({ met, underserved: world.checker.underserved() }).toEqual({ met, underserved: [] });
      },
    ),
    {
      seed: Number(process.env['SEED'] ?? 11),
      numRuns: Number(process.env['DAYS'] ?? 20),
      endOnFailure: true,
    },
  );
}, 3_600_000);
