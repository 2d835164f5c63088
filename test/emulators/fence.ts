/** A fence for tests of user requests alone: every cancellation counts as respected at once. */
import type { CancellationFence } from '../../src/adapters/user-requests.js';

export const IMMEDIATE_FENCE: CancellationFence = {
  observe: () => undefined,
  untilFenced: () => Promise.resolve(true),
};
