/** The indexes that make planning and placement fast select what an exhaustive search would. */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { earliestStart, StartQueue, type PlannedMachine } from '../src/core/autoscaling/index.js';
import {
  allocate,
  earliestShadow,
  fits,
  freeResources,
  machineCapacity,
  reserveAcrossMachines,
} from '../src/core/placement/index.js';
import { MAX_LIST_BYTES } from '../src/core/message-sizes.js';
import { claimTask, addJob } from '../src/core/persistence/index.js';
import { getOrCreateMachine } from '../src/core/fleet/index.js';
import { CoreHarness, EIGHT_CPU_TYPE, job } from './emulators/core-harness.js';

const cpusAndMemory = fc.record({
  cpus: fc.integer({ min: 1, max: 8 }),
  memoryGb: fc.integer({ min: 1, max: 64 }),
  heartbeatBytes: fc.integer({ min: 1, max: MAX_LIST_BYTES }),
});
const request = cpusAndMemory.map((amounts) => ({ ...amounts, gpus: 0 }));
const at = fc.integer({ min: 1, max: 40 }).map((s) => 102_000 + s * 1000);

// An exhaustive search costs tasks x machines x ends, which in a burst takes longer than the leader's lease.
test('the queue of planned starts selects the same machine as an exhaustive search', () => {
  const machine = fc.record({ ready: at, ends: fc.array(fc.record({ at, request }), { maxLength: 4 }) });
  fc.assert(
    fc.property(
      fc.array(machine, { maxLength: 8 }),
      request,
      fc.integer({ min: 1, max: 12 }),
      (generated, requested, tasks) => {
        const planned = generated.map(({ ready, ends }, i): PlannedMachine => {
          const free = machineCapacity(EIGHT_CPU_TYPE);
          const kept = ends.filter(({ request: taken }) => {
            if (!fits(taken, free)) return false;
            allocate(free, taken);
            return true;
          });
          kept.sort((a, b) => a.at - b.at);
          return {
            machine: `m${i}`,
            type: EIGHT_CPU_TYPE,
            zone: 'a',
            spot: true,
            readyAt: ready,
            free,
            ends: kept.map((end) => ({ at: end.at, resources: end.request })),
            isBusy: kept.length > 0,
            isUsed: false,
            version: 0,
          };
        });
        const startQueue = new StartQueue([...planned], requested);
        for (let i = 0; i < tasks; i += 1) {
          const starts = planned.map((one) => earliestStart(one, requested));
          const soonest = Math.min(Infinity, ...starts);
          const first = startQueue.first();
          expect(first?.at ?? Infinity).toBe(soonest);
          if (first === null) break;
          expect(first.index).toBe(starts.indexOf(soonest));
          startQueue.occupy(first.index, first.at, soonest + 5000);
        }
      },
    ),
    { seed: 3, numRuns: 300 },
  );
});

test('the shadow time of a single task equals that of an exhaustive walk over all task ends', () => {
  const machines = fc.array(fc.array(fc.record({ request, at }), { maxLength: 5 }), { maxLength: 8 });
  fc.assert(
    fc.property(machines, request, (generated, requested) => {
      const harness = new CoreHarness();
      const { state } = harness;
      const now = harness.time();
      const nodes = generated.map((tasks, i) => {
        const machine = getOrCreateMachine(state, `m${i}`, now);
        tasks.forEach(({ request: taken, at: end }, k) => {
          if (!fits(taken, freeResources(machine, EIGHT_CPU_TYPE))) return;
          const spec = job(`req-${i}-${k}`, 1, taken.cpus, 1, { memoryGb: taken.memoryGb });
          claimTask(state, addJob(state, { value: spec, modRevision: 1 }), 0, machine, now, end);
        });
        return state.capacityIndex.update(machine, EIGHT_CPU_TYPE, (claim) => claim.expectedEnd);
      });
      const found = earliestShadow(state, requested, now, () => true);
      const exhaustive = reserveAcrossMachines(state, nodes, requested, 1, now);
      expect(found?.shadowTime).toBe(exhaustive?.shadowTime);
      expect([...(found?.capacity ?? [])]).toEqual([...(exhaustive?.capacity ?? [])]);
    }),
    { seed: 4, numRuns: 300 },
  );
});
