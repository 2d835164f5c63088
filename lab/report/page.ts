/** The results page: one HTML file with the figures and the plots. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { RunResult } from '../run.js';
import { drawPlots } from './plots.js';
import { formatFigures } from './text.js';

const escape = (text: string): string =>
  text.replace(/&/g, '&amp;').replace(/</g, '&lt;').replace(/>/g, '&gt;');

/** Writes the page and the plots, and returns the path of the page. */
export async function writePage(
  out: string,
  scenario: string,
  results: readonly RunResult[],
): Promise<string> {
  const plots = await drawPlots(results);
  for (const [name, svg] of Object.entries(plots)) writeFileSync(join(out, `${scenario}-${name}.svg`), svg);
  const runs = results.map(({ figures }) => {
    const { workers, variant, commit, faults } = figures;
    const lines = [...formatFigures(figures), ...faults].map(escape).join('\n');
    return `<h2>${workers} workers, ${escape(variant)}, ${escape(commit)}</h2>\n<pre>${lines}</pre>`;
  });
  const page = join(out, `${scenario}.html`);
  writeFileSync(
    page,
    `<!doctype html>\n<meta charset="utf-8">\n<title>Scale run: ${escape(scenario)}</title>\n` +
      `<h1>Scale run: ${escape(scenario)}</h1>\n${Object.values(plots).join('\n')}\n${runs.join('\n')}\n`,
  );
  return page;
}
