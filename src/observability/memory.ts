/**
 * Monitors the memory of the process against its quota. The heap limit is fixed when the process starts, above what
 * the largest planned fleet needs, so the effective bound is `quota.ram_mb`, which is checked here.
 */
import { getHeapStatistics } from 'node:v8';
import type { Clock } from '../adapters/clock.js';
import type { Log } from './logging.js';

/** Resident memory of a controller without machines, in MB. */
const BASE_MEMORY_MB = 60;
/** Resident memory that each machine adds together with its share of the tasks, in MB. */
const MEMORY_MB_PER_MACHINE = 0.032;
/** Share of the quota at which caches are dropped. */
const NEAR_QUOTA_SHARE = 0.85;
/** Time between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = 1000;
/** Minimum time between two warnings of one kind, in milliseconds. */
const WARNING_INTERVAL_MS = 60_000;
const BYTES_PER_MB = 1024 * 1024;
/** Memory of the runtime outside its heap and buffers (stacks, compiled code, allocator overhead), in bytes. */
const NATIVE_BYTES = 24 * BYTES_PER_MB;

/**
 * Memory that the process itself uses, in bytes: its heap, its buffers and the runtime. The resident set size is not
 * used because it includes the pages of the program's file, which no quota counts. It is 30 to 40 MB higher, so the
 * smallest controllers would always appear to be near their quota.
 */
export function heldBytes(): number {
  const { total_physical_size, external_memory, malloced_memory } = getHeapStatistics();
  return NATIVE_BYTES + total_physical_size + external_memory + malloced_memory;
}

/** Estimated memory that a leader of this many machines needs, in MB, rounded up. */
export const estimatedMemoryMb = (machines: number): number =>
  Math.ceil(BASE_MEMORY_MB + MEMORY_MB_PER_MACHINE * machines);

/** The fault of a memory quota that is below the estimate for this many machines; `null` if it suffices. */
export function memoryQuotaFault(quotaMb: number, machines: number): string | null {
  const estimateMb = estimatedMemoryMb(machines);
  if (estimateMb <= quotaMb) return null;
  return `cluster.quota.ram_mb: ${quotaMb} is too small for ${machines} machines, which need an estimated ${estimateMb}`;
}

/** What the monitor needs of the process and of the node. */
export interface MemoryContext {
  readonly clock: Clock;
  readonly log: Pick<Log, 'warn'>;
  readonly quotaMb: number;
  /** Memory that the process itself uses, in bytes; see the function `heldBytes`. */
  heldBytes(): number;
  /** Number of machines in this node's state while it leads; 0 if it does not lead. */
  machines(): number;
  /** Drops cached data that can be read again from the key-value store. */
  dropCaches(): void;
}

/** Drops caches and warns when the memory used is near the quota, and warns when the quota is too small for the fleet. */
export class MemoryMonitor {
  #lastUseWarningMs = -Infinity;
  #lastQuotaWarningMs = -Infinity;

  constructor(private readonly context: MemoryContext) {}

  /** Checks periodically until the process ends. */
  async run(): Promise<void> {
    for (;;) {
      this.check();
      await this.context.clock.sleep(CHECK_INTERVAL_MS);
    }
  }

  /** Checks once. Caches are dropped only when a warning is logged, since refilling them costs reads of the store. */
  check(): void {
    this.#checkUse();
    this.#checkQuota();
  }

  #checkUse(): void {
    const { clock, log, quotaMb } = this.context;
    const usedMb = Math.round(this.context.heldBytes() / BYTES_PER_MB);
    if (usedMb < NEAR_QUOTA_SHARE * quotaMb) return;
    if (clock.monotonicMs() - this.#lastUseWarningMs < WARNING_INTERVAL_MS) return;
    this.#lastUseWarningMs = clock.monotonicMs();
    this.context.dropCaches();
    log.warn({ usedMb, quotaMb, machines: this.context.machines() }, 'memory near quota, caches dropped');
  }

  #checkQuota(): void {
    const { clock, log, quotaMb } = this.context;
    const machines = this.context.machines();
    if (machines === 0 || memoryQuotaFault(quotaMb, machines) === null) return;
    if (clock.monotonicMs() - this.#lastQuotaWarningMs < WARNING_INTERVAL_MS) return;
    this.#lastQuotaWarningMs = clock.monotonicMs();
    log.warn({ machines, quotaMb, estimateMb: estimatedMemoryMb(machines) }, 'memory quota too small');
  }
}
