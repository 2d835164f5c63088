/** The state service's process. */
import type { FromStateService, ToStateService } from '../messages.js';
import { StateService } from './state-service.js';

const SAMPLE_EVERY_MS = 1000;

const tell = (message: FromStateService): void => void process.send?.(message);

/** Serves the parent process until that ends. */
export function runStateProcess(): void {
  let service: StateService | null = null;
  process.on('message', (message: ToStateService) => {
    if (message.kind === 'setup') {
      const started = new StateService(message.limits, message.requestRps);
      service = started;
      started.listen(message.addresses, message.port).then(
        () => {
          setInterval(() => tell({ kind: 'sample', sample: started.sample() }), SAMPLE_EVERY_MS);
          tell({ kind: 'ready' });
        },
        (error: unknown) => tell({ kind: 'failed', reason: String(error) }),
      );
    } else if (message.kind === 'refuse') service?.refuse(message.address, message.forMs);
    else service?.outage(message.forMs);
  });
  process.on('disconnect', () => process.exit(0));
}
