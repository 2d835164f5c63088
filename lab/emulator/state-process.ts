/** Runs the key-value store emulator in a child process. */
import type { FromStore, ToStore } from '../messages.js';
import { StoreServer } from './state-service.js';

const SAMPLE_INTERVAL_MS = 1000;

const sendToParent = (message: FromStore): void => void process.send?.(message);

/** Handles messages of the parent process, and exits when the parent does. */
export function runStoreProcess(): void {
  let server: StoreServer | null = null;
  process.on('message', (message: ToStore) => {
    if (message.kind === 'setup') {
      const started = new StoreServer(message.limits, message.requestRps);
      server = started;
      started.listen(message.addresses, message.port).then(
        () => {
          setInterval(() => sendToParent({ kind: 'sample', sample: started.sample() }), SAMPLE_INTERVAL_MS);
          sendToParent({ kind: 'ready' });
        },
        (error: unknown) => sendToParent({ kind: 'failed', reason: String(error) }),
      );
    } else if (message.kind === 'refuse') server?.refuse(message.address, message.forMs);
    else server?.outage(message.forMs);
  });
  process.on('disconnect', () => process.exit(0));
}
