/** The version of the core under test: `bench/run.mjs` replaces this name by that version's module when it bundles. */
declare module '#version' {
  export const core: import('./version.js').Core;
  export const records: import('./version.js').Records;
}
