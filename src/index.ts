/** Public interface of rowanferry as a library. */
export { ControllerNode, type Ports } from './controller/node.js';
export { startService } from './service.js';
export { parseSettings, settingsFaults, SettingsError, type PlatformSettings } from './config/settings.js';
export { createPolicy, readPolicy, FIGURES } from './config/policy.js';
export { step } from './core/step.js';
export { createState } from './core/create-state.js';
export type { Command, Effect } from './core/effects.js';
