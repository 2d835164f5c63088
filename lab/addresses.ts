/** The addresses on which the lab's processes listen: loopback only, with one address per worker. */
import { createServer } from 'node:net';

const LOOPBACK = '127.0.0.1';
const PUBLIC_PORT = 21_000;
const PEER_PORT = 21_100;
const CLOUD_PORT = 21_200;
const STORE_PORT = 21_300;
const WORKER_PORT = 21_400;
/** Workers listen on 127.32.0.0 and up; controllers reach the key-value store at 127.16.0.1 and up. */
const WORKER_NETWORK = 32;
const STORE_NETWORK = 16;
const HOSTS_PER_BLOCK = 250;

export const publicAddress = (controller: number): { host: string; port: number } => ({
  host: LOOPBACK,
  port: PUBLIC_PORT + controller,
});
export const peerAddress = (controller: number): string => `${LOOPBACK}:${PEER_PORT + controller}`;
export const cloudAddress = { host: LOOPBACK, port: CLOUD_PORT };
export const storePort = STORE_PORT;
/** The key-value store has one address per controller, so that it can refuse a single controller. */
export const storeHost = (controller: number): string => `127.${STORE_NETWORK}.0.${controller + 1}`;

/** The address of the n-th machine's worker. */
export function workerAddress(index: number): string {
  const block = Math.floor(index / HOSTS_PER_BLOCK);
  return `127.${WORKER_NETWORK + Math.floor(block / 256)}.${block % 256}.${(index % HOSTS_PER_BLOCK) + 1}:${WORKER_PORT}`;
}

/** The reason why an address cannot be listened on; null if it can. */
export function listenError(host: string, port: number): Promise<string | null> {
  return new Promise((resolve) => {
    const probe = createServer();
    probe.once('error', (error: NodeJS.ErrnoException) =>
      resolve(`${host}:${port}: ${error.code ?? error.message}`),
    );
    probe.listen(port, host, () => probe.close(() => resolve(null)));
  });
}
