/** Real controllers as processes: writes their settings, starts and kills them, and reads their status. */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { cloudAddress, peerAddress, publicAddress, storeHost, storePort } from './addresses.js';
import { JsonClient } from './emulator/http.js';
import type { Processes } from './processes.js';
import type { Scenario } from './scenario.js';

const STATUS_TIMEOUT_MS = 1000;
const SOCKETS = 12_000;
const MEMORY_MB = 1024;
const LIST_LAG_S = 4;
const CLOCK_ERROR_MS = 20;
const START_OBJECTIVE_S = 1.8;

/** The Node.js flags of the command that deploy/service.toml runs. */
function deployedFlags(): string[] {
  const [, flags = ''] =
    /^run = "node ((?:--\S+ )*)/m.exec(readFileSync('deploy/service.toml', 'utf8')) ?? [];
  return flags.split(' ').filter((flag) => flag !== '');
}

/** The controller program that a run uses, and its policy. */
export interface Variant {
  readonly label: string;
  readonly program: string;
  /** The text of the operators' policy file. */
  readonly policy: string;
}

/** The fields of a controller's status page that the lab reads. */
export interface ControllerStatus {
  readonly leader: string | null;
  readonly peerBytes: number;
}

export class Controllers {
  readonly names: readonly string[];
  readonly #clients: readonly JsonClient[];

  constructor(
    private readonly scenario: Scenario,
    private readonly zones: readonly string[],
    private readonly variant: Variant,
    private readonly folder: string,
    private readonly processes: Processes,
  ) {
    this.names = Array.from({ length: scenario.controllers }, (_, i) => `controller-${i}`);
    this.#clients = this.names.map((_, i) => {
      const { host, port } = publicAddress(i);
      return new JsonClient(host, port, 1);
    });
    writeFileSync(join(folder, 'policy'), variant.policy);
    this.names.forEach((name, i) =>
      writeFileSync(join(folder, `${name}.json`), JSON.stringify(this.#settings(i), null, 1)),
    );
  }

  zoneOf(index: number): string {
    return this.zones[index % this.zones.length] ?? '';
  }

  start(index: number): void {
    const name = this.names[index] ?? '';
    this.processes.startController(
      name,
      [
        ...deployedFlags(),
        this.variant.program,
        'serve',
        '--settings',
        join(this.folder, `${name}.json`),
        '--policy',
        join(this.folder, 'policy'),
      ],
      join(this.folder, `${name}.log`),
      'info',
    );
  }

  kill(index: number): void {
    this.processes.kill(this.names[index] ?? '');
  }

  /** Status of each controller; null for a controller that does not answer with 200. */
  async statuses(): Promise<(ControllerStatus | null)[]> {
    return Promise.all(
      this.#clients.map(async (client) => {
        const { status, body } = await client.call('GET', '/status?brief', undefined, STATUS_TIMEOUT_MS);
        if (status !== 200) return null;
        const { leader, peerTraffic } = (body ?? {}) as {
          leader?: unknown;
          peerTraffic?: { sentBytes?: unknown };
        };
        return {
          leader: typeof leader === 'string' ? leader : null,
          peerBytes: typeof peerTraffic?.sentBytes === 'number' ? peerTraffic.sentBytes : 0,
        };
      }),
    );
  }

  close(): void {
    for (const client of this.#clients) client.close();
  }

  #settings(index: number): object {
    const { scenario, zones, names } = this;
    const { host, port } = publicAddress(index);
    const urgentClasses = scenario.classes.filter(({ urgency }) => urgency === 'high' || urgency === 'prod');
    const teams = scenario.teams.flatMap(({ count, cpusMax }) =>
      Array.from({ length: count }, () => cpusMax),
    );
    return {
      host_name: names[index],
      zone: this.zoneOf(index),
      public_addr: `${host}:${port}`,
      peer_bind: peerAddress(index),
      others: names.flatMap((name, i) =>
        i === index ? [] : [{ host_name: name, zone: this.zoneOf(i), peer_addr: peerAddress(i) }],
      ),
      endpoints: {
        cloud: `${cloudAddress.host}:${cloudAddress.port}`,
        state: `${storeHost(index)}:${storePort}`,
      },
      cluster: {
        count: names.length,
        zones,
        teams: teams.map((cpusMax, i) => ({
          name: `team-${i + 1}`,
          cpus: 0,
          cpus_max: cpusMax,
          gpus: 0,
          gpus_max: 0,
        })),
        objectives: urgentClasses.map(({ name }) => ({
          kind: 'wait',
          class: name,
          share: 0.95,
          within_s: START_OBJECTIVE_S,
        })),
        workers: { report_s: scenario.reportS, lease_s: scenario.leaseS, cancel_s: scenario.cancelS },
        state: {
          rps: scenario.state.rps,
          write_rps: scenario.state.writeRps,
          value_kb: scenario.state.valueKb,
          txn_ops: scenario.state.txnOps,
        },
        cloud: { rps: scenario.cloudRps, list_lag_s: LIST_LAG_S },
        quota: { cpu: 1, ram_mb: MEMORY_MB, sockets: SOCKETS },
        clock_error_ms: CLOCK_ERROR_MS,
      },
    };
  }
}

/** The first log lines of a controller that report an internal fault, at most three. */
export function faultLines(folder: string, name: string): string[] {
  return readFileSync(join(folder, `${name}.log`), 'utf8')
    .split('\n')
    .filter((line) => /step failed|uncaught|unhandled/.test(line))
    .slice(0, 3);
}
