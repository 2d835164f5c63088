import type { Effect } from './effects.js';

export function log(effects: Effect[], event: string, detail: object): void {
  effects.push({ kind: 'log', level: 'info', event, detail });
}
