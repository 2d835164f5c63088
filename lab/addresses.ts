/** Where everything listens: loopback addresses only, one for each worker. */
import { createServer } from 'node:net';

const LOOPBACK = '127.0.0.1';
const PUBLIC_PORT = 21_000;
const PEER_PORT = 21_100;
const CLOUD_PORT = 21_200;
const STATE_PORT = 21_300;
const WORKER_PORT = 21_400;
/** Workers listen on 127.32.0.0 and up; controllers reach the state service at 127.16.0.1 and up. */
const WORKER_NETWORK = 32;
const STATE_NETWORK = 16;
const HOSTS_PER_BLOCK = 250;

export const publicAddress = (controller: number): { host: string; port: number } => ({
  host: LOOPBACK,
  port: PUBLIC_PORT + controller,
});
export const peerAddress = (controller: number): string => `${LOOPBACK}:${PEER_PORT + controller}`;
export const cloudAddress = { host: LOOPBACK, port: CLOUD_PORT };
export const statePort = STATE_PORT;
/** Where a controller reaches the state service: an address of its own, so that it can be refused alone. */
export const stateHost = (controller: number): string => `127.${STATE_NETWORK}.0.${controller + 1}`;

/** The address of the n-th machine's worker. */
export function workerAddress(index: number): string {
  const block = Math.floor(index / HOSTS_PER_BLOCK);
  return `127.${WORKER_NETWORK + Math.floor(block / 256)}.${block % 256}.${(index % HOSTS_PER_BLOCK) + 1}:${WORKER_PORT}`;
}

/** Why an address cannot be listened on, or null. */
export function portTrouble(host: string, port: number): Promise<string | null> {
  return new Promise((resolve) => {
    const probe = createServer();
    probe.once('error', (error: NodeJS.ErrnoException) =>
      resolve(`${host}:${port}: ${error.code ?? error.message}`),
    );
    probe.listen(port, host, () => probe.close(() => resolve(null)));
  });
}
