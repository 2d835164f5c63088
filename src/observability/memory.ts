/**
 * The process's memory against its quota. The heap's ceiling is fixed at the start, above what the largest
 * planned fleet needs; what bounds the process in use is `quota.ram_mb`, which is watched here.
 */
import { getHeapStatistics } from 'node:v8';
import type { Clock } from '../adapters/clock.js';
import type { Log } from './logging.js';

/** Resident memory of a controller without machines, in MB. */
const BASE_MEMORY_MB = 60;
/**
 * Resident memory that each machine adds, in MB, with its share of tasks; measured with 4,000 and 6,000 machines.
 */
const MEMORY_MB_PER_MACHINE = 0.032;
/** Share of the quota from which on caches are dropped. */
const NEAR_QUOTA_SHARE = 0.85;
/** Time between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = 1000;
/** Minimum time between two warnings of one kind, in milliseconds. */
const WARNING_INTERVAL_MS = 60_000;
const BYTES_PER_MB = 1024 * 1024;
/** What the runtime holds beside its heap and buffers (stacks, compiled code, the allocator's own), in bytes. */
const NATIVE_BYTES = 24 * BYTES_PER_MB;

/**
 * Memory that the process holds for itself, in bytes. The resident set would count the pages of the program's file,
 * too, which no quota counts: it stands 30 to 40 MB higher, so that the smallest controllers would always look full.
 */
export function heldBytes(): number {
  const { total_physical_size, external_memory, malloced_memory } = getHeapStatistics();
  return NATIVE_BYTES + total_physical_size + external_memory + malloced_memory;
}

/** Memory that a leader of so many machines needs, in MB; an estimate, rounded up. */
export const estimatedMemoryMb = (machines: number): number =>
  Math.ceil(BASE_MEMORY_MB + MEMORY_MB_PER_MACHINE * machines);

/** Why a memory quota is too small for so many machines; `null`: it suffices by the estimate. */
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
  /** Memory that the process holds for itself, in bytes; see `heldBytes`. */
  heldBytes(): number;
  /** Machines that this node knows of as the leader; 0: it does not lead. */
  machines(): number;
  /** Drops what can be read again. */
  dropCaches(): void;
}

/** Compares the memory held with the quota, drops caches near it, and warns. */
export class MemoryMonitor {
  #warnedNearAt = -Infinity;
  #warnedSmallAt = -Infinity;

  constructor(private readonly context: MemoryContext) {}

  /** Checks for as long as the process lives. */
  async run(): Promise<void> {
    for (;;) {
      this.check();
      await this.context.clock.sleep(CHECK_INTERVAL_MS);
    }
  }

  /** Checks once. Caches are dropped no more often than warnings are logged, since refilling them has its cost. */
  check(): void {
    this.#checkUse();
    this.#checkQuota();
  }

  #checkUse(): void {
    const { clock, log, quotaMb } = this.context;
    const usedMb = Math.round(this.context.heldBytes() / BYTES_PER_MB);
    if (usedMb < NEAR_QUOTA_SHARE * quotaMb) return;
    if (clock.monotonicMs() - this.#warnedNearAt < WARNING_INTERVAL_MS) return;
    this.#warnedNearAt = clock.monotonicMs();
    this.context.dropCaches();
    log.warn({ usedMb, quotaMb, machines: this.context.machines() }, 'memory near quota, caches dropped');
  }

  #checkQuota(): void {
    const { clock, log, quotaMb } = this.context;
    const machines = this.context.machines();
    if (machines === 0 || memoryQuotaFault(quotaMb, machines) === null) return;
    if (clock.monotonicMs() - this.#warnedSmallAt < WARNING_INTERVAL_MS) return;
    this.#warnedSmallAt = clock.monotonicMs();
    log.warn({ machines, quotaMb, estimateMb: estimatedMemoryMb(machines) }, 'memory quota too small');
  }
}
