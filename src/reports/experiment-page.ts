/** The results of an experiment as one HTML page without scripts or external resources. */
import type { ExperimentFile } from '../experiment/experiment-file.js';
import type { ScenarioResult } from '../experiment/scenario-result.js';
import { summarizeKinds } from '../experiment/summary.js';
import {
  coverageChart,
  extraLoadChart,
  inForceChart,
  latencyChart,
  renderChart,
} from './charts.js';
import {
  formatKindName,
  LATENCY_COLUMNS,
  OUTCOME_COLUMNS,
  type SummaryColumn,
  TAIL_COLUMNS,
} from './summary-columns.js';

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 75rem; padding: 0 1rem; color: #1c1c1c; }
h1, h2 { line-height: 1.2; }
h2 { margin-top: 3rem; border-top: 1px solid #ccc; padding-top: 1rem; }
table { border-collapse: collapse; font-size: 13px; }
th, td { padding: 0.2rem 0.6rem; text-align: right; white-space: nowrap; }
th { border-bottom: 1px solid #999; }
th:nth-child(-n+2), td:nth-child(-n+2) { text-align: left; }
tr.first td { border-top: 1px solid #ddd; }
.wide { overflow-x: auto; }
.charts { display: flex; flex-wrap: wrap; gap: 2rem; margin-top: 2rem; }
svg { max-width: 100%; height: auto; }
.bad { color: #a40000; font-weight: 600; }
code { background: #f3f3f3; padding: 0 0.2rem; }
`;

/** Escapes text for HTML content and attribute values. */
export const escapeHtml = (text: string): string =>
  text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');

const COLUMNS: readonly SummaryColumn[] = [
  { title: 'kind', format: formatKindName },
  ...LATENCY_COLUMNS,
  ...TAIL_COLUMNS,
  ...OUTCOME_COLUMNS,
];

const tableOf = (results: readonly ScenarioResult[]): string => {
  const head = COLUMNS.map(({ title }) => `<th>${title}</th>`).join('');
  let last = '';
  const rows = summarizeKinds(results).map((summary) => {
    const [kind = '', ...rest] = COLUMNS.map(({ format }) => format(summary));
    const first = kind !== last;
    last = kind;
    const cells = [first ? kind : '', ...rest].map((cell) => `<td>${escapeHtml(cell)}</td>`);
    return `<tr${first ? ' class="first"' : ''}>${cells.join('')}</tr>`;
  });
  return `<div class="wide"><table><thead><tr>${head}</tr></thead><tbody>${rows.join('')}</tbody></table></div>`;
};

const violationsOf = (results: readonly ScenarioResult[]): string => {
  const count = results.reduce((sum, { run }) => sum + run.violationCount, 0);
  if (count === 0) {
    return '<p>No promise was broken.</p>';
  }
  const items = results.flatMap(({ seed, variant, run }) =>
    run.violations.map(
      ({ promise, subject, seen }) =>
        `<li>seed ${seed}, ${variant}: ${escapeHtml(`${promise} ${subject}: ${seen}`)}</li>`,
    ),
  );
  return `<p class="bad">${count} broken promises</p><ul>${items.slice(0, 20).join('')}</ul>`;
};

const sectionOf = async (scenario: string, results: readonly ScenarioResult[]): Promise<string> => {
  const seeds = [...new Set(results.map(({ seed }) => seed))].join(', ');
  const drivers = [...new Set(results.map(({ driver }) => driver))].join(', ');
  const charts = [latencyChart(results), coverageChart(results), extraLoadChart(results)];
  if (results.some(({ edits }) => edits.some(({ inForceMs }) => inForceMs !== undefined))) {
    charts.push(inForceChart(results));
  }
  const rendered = await Promise.all(charts.map(renderChart));
  return [
    `<h2>${escapeHtml(scenario)}</h2>`,
    `<p>Run by: ${drivers}. Seeds: ${seeds}.</p>`,
    violationsOf(results),
    tableOf(results),
    `<div class="charts">${rendered.map((svg) => `<div>${svg}</div>`).join('')}</div>`,
  ].join('\n');
};

/** Builds the HTML page of an experiment's results. */
export const buildExperimentPage = async (file: ExperimentFile): Promise<string> => {
  const scenarios = [...new Set(file.results.map(({ scenario }) => scenario))];
  const sections = await Promise.all(
    scenarios.map((scenario) =>
      sectionOf(
        scenario,
        file.results.filter((result) => result.scenario === scenario),
      ),
    ),
  );
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>crossroad experiment</title><style>${STYLE}</style></head>
<body>
<h1>crossroad experiment</h1>
<p><code>crossroad ${escapeHtml(file.command)}</code><br>started ${escapeHtml(file.startedAt)}, Node ${escapeHtml(file.nodeVersion)}. Latencies are over answered calls; figures are medians over seeds, counts are sums.</p>
${sections.join('\n')}
</body>
</html>
`;
};
