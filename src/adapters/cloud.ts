/** Client of the cloud provider: within its rate, backing off while it fails. */
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

/** Names of the machines provisioned; `refused`: no capacity; `malformed`: never accepted as it is; `unknown`: perhaps executed. */
export type ProvisioningResult = readonly string[] | 'refused' | 'malformed' | 'unknown';

/** What the controller needs of the cloud provider. */
export interface Cloud {
  /** Machine types on offer; `null`: no answer. */
  catalog(): Promise<MachineType[] | null>;
  /** All machines held, as the provider lists them; the list may lag. `null`: no answer. */
  listMachines(): Promise<ListedMachine[] | null>;
  /** Provisions machines. Idempotent by `request`: a repeated one returns the same machines. */
  provision(
    request: string,
    type: string,
    zone: string,
    spot: boolean,
    count: number,
  ): Promise<ProvisioningResult>;
  /** Terminates machines; false: not confirmed. */
  terminate(listMachines: readonly string[]): Promise<boolean>;
}

/** Minimum time after a failed request before the caller goes on, in milliseconds. */
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
    const answer = await this.#client.request(method, path, body, this.#timeoutMs);
    // The provider answers an exhausted capacity like a failure; it is none.
    const refused = answer.status === 503 && JSON.stringify(answer.body ?? '').includes('no capacity');
    const answered = answer.status !== 0 && answer.status !== 429 && (answer.status < 500 || refused);
    this.#retries.observeOutcome(answered);
    if (!answered) {
      await this.clock.sleep(FAILURE_BACKOFF_MS);
    }
    return answer;
  }

  async catalog(): Promise<MachineType[] | null> {
    const answer = await this.#call('GET', '/catalog', null);
    return answer.status === 200 ? parseCatalog(answer.body) : null;
  }

  async listMachines(): Promise<ListedMachine[] | null> {
    const all: ListedMachine[] = [];
    for (;;) {
      const last = all.at(-1)?.name;
      const answer = await this.#call(
        'GET',
        `/machines?${last === undefined ? '' : `after=${last}&`}page=${PAGE_MACHINES}`,
        null,
      );
      const page = answer.status === 200 ? parseMachinePage(answer.body) : null;
      if (page === null) return null;
      all.push(...page.machines);
      if (!page.more || page.machines.length === 0) return all;
    }
  }

  async provision(
    request: string,
    type: string,
    zone: string,
    spot: boolean,
    count: number,
  ): Promise<ProvisioningResult> {
    const answer = await this.#call(
      'POST',
      '/machines',
      encodeProvisionRequest(request, type, zone, spot, count),
    );
    if (answer.status === 200) return parseProvisioned(answer.body) ?? 'unknown';
    if (answer.status === 400) return 'malformed';
    const text = JSON.stringify(answer.body ?? '');
    return answer.status === 503 && text.includes('no capacity') ? 'refused' : 'unknown';
  }

  async terminate(machines: readonly string[]): Promise<boolean> {
    const answer = await this.#call('POST', '/machines/return', encodeTerminateRequest(machines));
    return answer.status === 200;
  }
}
