/**
 * The platform's settings file: its schema, which defines the field names, and the limits and timings that are
 * derived from it.
 */
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

/** A valid settings document, with the field names and units of the file. */
export type PlatformSettings = v.InferOutput<typeof settingsSchema>;

/** Limits of the key-value store: requests and writes per second, KiB per value, mutations per transaction. */
export interface StoreLimits {
  readonly rps: number;
  readonly write_rps: number;
  readonly value_kb: number;
  readonly txn_ops: number;
}

/**
 * The limits that apply once every controller can comply with them: for each, the smaller of the present and the
 * announced value, since the time at which the announced limits take effect is not known.
 */
export function strictestLimits(settings: PlatformSettings): StoreLimits {
  const { state } = settings.cluster;
  const smaller = (now: number, next: number | null | undefined): number => Math.min(now, next ?? now);
  return {
    rps: smaller(state.rps, state.next?.rps),
    write_rps: smaller(state.write_rps, state.next?.write_rps),
    value_kb: smaller(state.value_kb, state.next?.value_kb),
    txn_ops: smaller(state.txn_ops, state.next?.txn_ops),
  };
}

/** An IP address or host name, and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Splits `HOST:PORT`; the form is checked by the caller. */
export function parseAddress(addr: string): Address {
  const colon = addr.lastIndexOf(':');
  return { host: addr.slice(0, colon), port: Number(addr.slice(colon + 1)) };
}

/** A settings, policy or job file that cannot be read or is invalid; the message names the file or field. */
export class SettingsError extends Error {}

/** Every fault of a settings document, each as `field: reason`; empty if it is valid. */
export function settingsFaults(document: unknown): string[] {
  const result = v.safeParse(settingsSchema, document);
  return result.success
    ? []
    : result.issues.map((issue) => `${v.getDotPath(issue) ?? 'settings'}: ${issue.message}`);
}

/**
 * Checks a settings document.
 * @throws {SettingsError} on its first fault.
 */
export function parseSettings(document: unknown): PlatformSettings {
  const result = v.safeParse(settingsSchema, document);
  if (result.success) return result.output;
  throw new SettingsError(settingsFaults(document)[0] ?? 'settings: invalid');
}

/**
 * Reads a file.
 * @throws {SettingsError} if it cannot be read.
 */
export function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(`${file}: ${error instanceof Error ? error.message : 'cannot be read'}`, {
      cause: error,
    });
  }
}

/**
 * Reads a JSON file.
 * @throws {SettingsError} if it cannot be read or is not JSON.
 */
export function readDocument(file: string): unknown {
  const source = readText(file);
  try {
    return JSON.parse(source) as unknown;
  } catch (error) {
    throw new SettingsError(`${file}: not JSON: ${error instanceof Error ? error.message : ''}`, {
      cause: error,
    });
  }
}

/** The service's timeouts and intervals, derived from `report_s`, `lease_s` and `cancel_s` of the settings. */
export function timing(settings: PlatformSettings): Timing {
  const { report_s, lease_s, cancel_s } = settings.cluster.workers;
  const leaseMs = lease_s * 1000;
  const reportMs = report_s * 1000;
  return {
    leaderLeaseMs: Math.max(1000, 0.2 * leaseMs),
    renewIntervalMs: Math.max(250, 0.05 * leaseMs),
    // A tenth of cancel_s is the margin for late timers, clock drift and the worker's reaction time.
    authorityWindowMs: Math.max(0, (0.9 * cancel_s - lease_s) * 1000),
    workerLeaseMs: leaseMs,
    maxHeartbeatIntervalMs: 1.25 * reportMs,
    silenceTimeoutMs: leaseMs + 1.25 * reportMs,
    // This is longer than a worker takes to try its other controllers after one did not answer.
    shortSilenceTimeoutMs: 0.5 * leaseMs + 1.25 * reportMs,
    cancelTimeoutMs: cancel_s * 1000,
    watchTimeoutMs: 0.1 * leaseMs,
    storeTimeoutMs: 0.15 * leaseMs,
    tickMs: 0.25 * reportMs,
    probeTimeoutMs: 0.3 * reportMs,
    exitBatchDelayMs: 0.2 * leaseMs,
    maxReplyDelayMs: 0.25 * reportMs,
    forwardBatchDelayMs: 0.02 * reportMs,
  };
}
