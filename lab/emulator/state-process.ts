/** Runs the state service in a child process. */
import type { FromStateService, ToStateService } from '../messages.js';
import { StateService } from './state-service.js';

const SAMPLE_INTERVAL_MS = 1000;

const sendToParent = (message: FromStateService): void => void process.send?.(message);

/** Handles messages of the parent process, and exits when the parent does. */
export function runStateProcess(): void {
  let service: StateService | null = null;
  process.on('message', (message: ToStateService) => {
    if (message.kind === 'setup') {
      const started = new StateService(message.limits, message.requestRps);
      service = started;
      started.listen(message.addresses, message.port).then(
        () => {
          setInterval(() => sendToParent({ kind: 'sample', sample: started.sample() }), SAMPLE_INTERVAL_MS);
          sendToParent({ kind: 'ready' });
        },
        (error: unknown) => sendToParent({ kind: 'failed', reason: String(error) }),
      );
    } else if (message.kind === 'refuse') service?.refuse(message.address, message.forMs);
    else service?.outage(message.forMs);
  });
  process.on('disconnect', () => process.exit(0));
}
