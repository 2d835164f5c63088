/** The platform's settings file: its shape, and the figures the service derives from it. */
import { readFileSync } from 'node:fs';
import * as v from 'valibot';
import type { Timing } from '../core/timing.js';

export type { Timing };

const text = v.pipe(v.string(), v.nonEmpty());
const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(1));
const address = v.pipe(v.string(), v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be IP:PORT'));

const settingsSchema = v.object({
  host_name: text,
  zone: text,
  public_addr: address,
  peer_bind: address,
  others: v.array(v.object({ host_name: text, zone: text, peer_addr: address })),
  endpoints: v.object({ cloud: address, state: address }),
  cluster: v.object({
    zones: v.array(text),
    teams: v.array(v.object({ name: text, cpus: amount, cpus_max: amount, gpus: amount, gpus_max: amount })),
    objectives: v.optional(
      v.array(
        v.object({
          kind: text,
          class: v.optional(text),
          share: v.optional(amount),
          times: v.optional(amount),
          within_s: v.optional(amount),
          within_ms: v.optional(amount),
        }),
      ),
      [],
    ),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: v.optional(amount, 0),
      gang_peer_s: v.optional(amount, 0),
      cancel_s: positive,
    }),
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: count,
      next: v.nullish(
        v.object({
          rps: v.nullish(positive),
          write_rps: v.nullish(positive),
          value_kb: v.nullish(positive),
          txn_ops: v.nullish(count),
        }),
      ),
    }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    quota: v.object({ cpu: positive, ram_mb: positive, sockets: count }),
    clock_error_ms: amount,
  }),
});

export type PlatformSettings = v.InferOutput<typeof settingsSchema>;

/** What the state service allows: requests and changes a second, KiB a value, changes a transaction. */
export interface StoreLimits {
  readonly rps: number;
  readonly write_rps: number;
  readonly value_kb: number;
  readonly txn_ops: number;
}

/**
 * The limits to keep to once every controller can: the smaller of those of today and those
 * to come. When these come is not announced.
 */
export function strictestLimits(settings: PlatformSettings): StoreLimits {
  const { state } = settings.cluster;
  const least = (now: number, next: number | null | undefined): number => Math.min(now, next ?? now);
  return {
    rps: least(state.rps, state.next?.rps),
    write_rps: least(state.write_rps, state.next?.write_rps),
    value_kb: least(state.value_kb, state.next?.value_kb),
    txn_ops: least(state.txn_ops, state.next?.txn_ops),
  };
}

export interface Address {
  readonly host: string;
  readonly port: number;
}

export function parseAddress(addr: string): Address {
  const at = addr.lastIndexOf(':');
  return { host: addr.slice(0, at), port: Number(addr.slice(at + 1)) };
}

export class SettingsError extends Error {}

/** Every fault of a settings document, each as `field: reason`; empty when it is sound. */
export function settingsFaults(document: unknown): string[] {
  const result = v.safeParse(settingsSchema, document);
  return result.success
    ? []
    : result.issues.map((issue) => `${v.getDotPath(issue) ?? 'settings'}: ${issue.message}`);
}

export function parseSettings(document: unknown): PlatformSettings {
  const result = v.safeParse(settingsSchema, document);
  if (result.success) return result.output;
  throw new SettingsError(settingsFaults(document)[0] ?? 'settings: invalid');
}

export function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(`${file}: ${error instanceof Error ? error.message : 'cannot be read'}`);
  }
}

export function readDocument(file: string): unknown {
  const source = readText(file);
  try {
    return JSON.parse(source) as unknown;
  } catch (error) {
    throw new SettingsError(`${file}: not JSON: ${error instanceof Error ? error.message : ''}`);
  }
}

export function timing(settings: PlatformSettings): Timing {
  const { report_s, lease_s, cancel_s } = settings.cluster.workers;
  const lease = lease_s * 1000;
  const report = report_s * 1000;
  return {
    leaderLeaseMs: Math.max(1000, 0.2 * lease),
    renewIntervalMs: Math.max(250, 0.05 * lease),
    // A tenth of cancel_s is the margin for late timers, drifting clocks and the
    // worker's own reaction.
    authorityWindowMs: Math.max(0, (0.9 * cancel_s - lease_s) * 1000),
    workerLeaseMs: lease,
    maxHeartbeatIntervalMs: 1.25 * report,
    silenceTimeoutMs: lease + 1.25 * report,
    // Longer than a worker takes to try its other nodes after one left it without answer.
    shortSilenceTimeoutMs: 0.5 * lease + 1.25 * report,
    cancelTimeoutMs: cancel_s * 1000,
    watchTimeoutMs: 0.1 * lease,
    storeTimeoutMs: 0.15 * lease,
    tickMs: 0.25 * report,
    probeTimeoutMs: 0.3 * report,
    exitBatchDelayMs: 0.2 * lease,
    maxReplyDelayMs: 0.25 * report,
    forwardBatchDelayMs: 0.02 * report,
  };
}
