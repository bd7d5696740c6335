/** Live figures of each row at the node that serves the page. */
import { html } from 'hono/html';
import type { RowFigures } from '../../metrics/live-figures.js';
import { formatCount, formatShare, type Markup } from './markup.js';

/** Most rows shown; the busiest ones are. */
const ROWS_LIMIT = 200;

const formatMs = (ms: number | undefined): string => (ms === undefined ? '–' : ms.toFixed(1));

const formatOptionalShare = (share: number | undefined): string =>
  share === undefined ? '–' : formatShare(share);

const renderRow = (row: RowFigures): Markup =>
  html`<tr>
    <th scope="row" data-label="Row">${row.partner}/${row.route}/${row.kind}</th>
    <td data-label="Queries" class="number">${formatCount(row.queries)}</td>
    <td data-label="p50 (ms)" class="number">${formatMs(row.p50Ms)}</td>
    <td data-label="p99 (ms)" class="number">${formatMs(row.p99Ms)}</td>
    <td data-label="Mean coverage" class="number">${formatOptionalShare(row.meanCoverage)}</td>
    <td data-label="Worst coverage" class="number">${formatOptionalShare(row.worstCoverage)}</td>
    <td data-label="Extra load" class="number">${formatShare(row.extraLoad)}</td>
    <td data-label="Refused as not run" class="number">${formatCount(row.notRun)}</td>
    <td data-label="Unknown" class="number">${formatCount(row.unknown)}</td>
  </tr>`;

/** Renders the table of figures, which the page's script reloads at intervals. */
export const renderFigureRows = (figures: readonly RowFigures[]): Markup => {
  const busiest = [...figures].sort((left, right) => right.queries - left.queries);
  return busiest.length === 0
    ? html`<p class="empty">No queries in the last minute.</p>`
    : html`<table class="plain">
        <thead>
          <tr>
            <th scope="col">Row</th>
            <th scope="col">Queries</th>
            <th scope="col">p50 (ms)</th>
            <th scope="col">p99 (ms)</th>
            <th scope="col">Mean coverage</th>
            <th scope="col">Worst coverage</th>
            <th scope="col">Extra load</th>
            <th scope="col">Refused as not run</th>
            <th scope="col">Unknown</th>
          </tr>
        </thead>
        <tbody>
          ${busiest.slice(0, ROWS_LIMIT).map(renderRow)}
        </tbody>
      </table>`;
};

/** Renders the page of figures. */
export const renderFiguresPage = (figures: readonly RowFigures[], node: string): Markup => html`
  <p class="hint">
    Queries that node ${node} answered in the last 30 to 60 seconds. Extra load is the ratio of
    attempts sent to legs needed, minus one.
  </p>
  <p class="tools">
    <a class="button" href="/figures">Refresh</a>
    <label><input type="checkbox" id="refresh" /> Refresh every 5 seconds</label>
  </p>
  <div id="figures" data-source="/figures/rows">${renderFigureRows(figures)}</div>
`;
