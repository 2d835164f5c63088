/** Logging from within the core, which does no I/O: each line is an effect. */
import type { Effect } from './effects.js';

/** Adds a line at level "info". `event` names what happened, `detail` holds its fields. */
export function log(effects: Effect[], event: string, detail: object): void {
  effects.push({ kind: 'log', level: 'info', event, detail });
}
