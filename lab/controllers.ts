/** Real controllers as processes: their settings, starts and ends, and who of them leads. */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { cloudAddress, peerAddress, publicAddress, stateHost, statePort } from './addresses.js';
import { JsonClient } from './emulator/http.js';
import type { Processes } from './processes.js';
import type { Scenario } from './scenario.js';

const STATUS_TIMEOUT_MS = 1000;
const SOCKETS = 12_000;
const MEMORY_MB = 1024;
const LIST_LAG_S = 4;
const CLOCK_ERROR_MS = 20;
const START_AIM_S = 1.8;

/** The flags of Node.js with which a controller is deployed. */
function deployedFlags(): string[] {
  const [, flags = ''] =
    /^run = "node ((?:--\S+ )*)/m.exec(readFileSync('deploy/service.toml', 'utf8')) ?? [];
  return flags.split(' ').filter((flag) => flag !== '');
}

/** The program of controllers that a run uses. */
export interface Variant {
  readonly label: string;
  readonly program: string;
  /** Operators' policy, as a file's text. */
  readonly policy: string;
}

/** What a controller's status page tells the lab. */
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

  /** What the controllers' status pages say; null where there is no answer. */
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
    const urgent = scenario.classes.filter(({ urgency }) => urgency === 'high' || urgency === 'prod');
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
        state: `${stateHost(index)}:${statePort}`,
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
        objectives: urgent.map(({ name }) => ({
          kind: 'wait',
          class: name,
          share: 0.95,
          within_s: START_AIM_S,
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

/** The log lines of a controller that tell of internal faults. */
export function faultLines(folder: string, name: string): string[] {
  return readFileSync(join(folder, `${name}.log`), 'utf8')
    .split('\n')
    .filter((line) => /step failed|uncaught|unhandled/.test(line))
    .slice(0, 3);
}
