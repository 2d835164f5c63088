/** Client of the cloud provider's API: it keeps within the rate limit and backs off while the provider fails. */
import type { ListedMachine, MachineType } from '../core/types.js';
import { parseAddress, type PlatformSettings } from '../config/settings.js';
import {
  encodeProvisionRequest,
  encodeTerminateRequest,
  parseCatalog,
  parseMachinePage,
  parseProvisioned,
} from '../wire/cloud.js';
import type { Clock } from './clock.js';
import { HttpClient, type HttpResponse } from './http-client.js';
import { RateLimiter, RetryBudget } from './rate-limiter.js';

/**
 * Names of the provisioned machines; `refused`: no capacity; `malformed`: the provider will never accept this request;
 * `unknown`: the request may have been executed.
 */
export type ProvisioningResult = readonly string[] | 'refused' | 'malformed' | 'unknown';

/** The operations of the cloud provider that the controller uses. */
export interface Cloud {
  /** Machine types that the provider offers; `null` if it did not answer. */
  catalog(): Promise<MachineType[] | null>;
  /** All provisioned machines as the provider lists them, possibly with a lag; `null` if it did not answer. */
  listMachines(): Promise<ListedMachine[] | null>;
  /** Provisions machines. `request` is the idempotency key: a repeated request returns the same machines. */
  provision(
    request: string,
    type: string,
    zone: string,
    spot: boolean,
    count: number,
  ): Promise<ProvisioningResult>;
  /** Terminates machines; returns false if the provider did not confirm it. */
  terminate(machines: readonly string[]): Promise<boolean>;
}

/** Delay after a failed request before the call returns, in milliseconds. */
const FAILURE_BACKOFF_MS = 1000;
/** Machines on one page of a list. */
const PAGE_MACHINES = 500;

/** The cloud provider's HTTP interface. */
export class HttpCloud implements Cloud {
  readonly #client: HttpClient;
  readonly #requestRate: RateLimiter;
  readonly #retries: RetryBudget;
  readonly #timeoutMs: number;

  constructor(
    settings: PlatformSettings,
    private readonly clock: Clock,
  ) {
    this.#client = new HttpClient(parseAddress(settings.endpoints.cloud), 6);
    const { rps } = settings.cluster.cloud;
    this.#requestRate = new RateLimiter(clock, 0.7 * rps, rps);
    this.#retries = new RetryBudget(clock, rps);
    this.#timeoutMs = 300 * settings.cluster.workers.lease_s;
  }

  async #call(method: string, path: string, body: string | null): Promise<HttpResponse> {
    while (!this.#retries.allowsRequest() || !this.#requestRate.tryAcquire()) await this.clock.sleep(100);
    const response = await this.#client.request(method, path, body, this.#timeoutMs);
    // The provider reports exhausted capacity with status 503, but that is an answer, not a failure.
    const hasNoCapacity =
      response.status === 503 && JSON.stringify(response.body ?? '').includes('no capacity');
    const answered =
      response.status !== 0 && response.status !== 429 && (response.status < 500 || hasNoCapacity);
    this.#retries.observeOutcome(answered);
    if (!answered) {
      await this.clock.sleep(FAILURE_BACKOFF_MS);
    }
    return response;
  }

  async catalog(): Promise<MachineType[] | null> {
    const response = await this.#call('GET', '/catalog', null);
    return response.status === 200 ? parseCatalog(response.body) : null;
  }

  async listMachines(): Promise<ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    for (;;) {
      const lastName = machines.at(-1)?.name;
      const response = await this.#call(
        'GET',
        `/machines?${lastName === undefined ? '' : `after=${lastName}&`}page=${PAGE_MACHINES}`,
        null,
      );
      const page = response.status === 200 ? parseMachinePage(response.body) : null;
      if (page === null) return null;
      machines.push(...page.machines);
      if (!page.more || page.machines.length === 0) return machines;
    }
  }

  async provision(
    request: string,
    type: string,
    zone: string,
    spot: boolean,
    count: number,
  ): Promise<ProvisioningResult> {
    const response = await this.#call(
      'POST',
      '/machines',
      encodeProvisionRequest(request, type, zone, spot, count),
    );
    if (response.status === 200) return parseProvisioned(response.body) ?? 'unknown';
    if (response.status === 400) return 'malformed';
    const text = JSON.stringify(response.body ?? '');
    return response.status === 503 && text.includes('no capacity') ? 'refused' : 'unknown';
  }

  async terminate(machines: readonly string[]): Promise<boolean> {
    const response = await this.#call('POST', '/machines/return', encodeTerminateRequest(machines));
    return response.status === 200;
  }
}
