/** The history page: the edits of a partner's sheet, newest first. */
import { html } from 'hono/html';
import type { PartnerId } from '../../core/identifiers.js';
import type { HistoryBody } from '../../operator-protocol/table-body.js';
import { countWord, formatTime, type Markup } from './markup.js';

/** Edits on one page. */
const HISTORY_PAGE_EDITS = 50;

type HistoryRecord = HistoryBody['history'][number];

const renderRecord = (record: HistoryRecord): Markup => {
  const more =
    record.moreRows === undefined ? '' : ` and ${countWord(record.moreRows, 'more row')}`;
  return html`<tr>
    <th scope="row" data-label="Version" class="number">${record.sheetVersion}</th>
    <td data-label="When">${formatTime(record.writtenAt)}</td>
    <td data-label="Who">${record.operator}</td>
    <td data-label="Why">${record.reason}</td>
    <td data-label="Rows">${record.rows.join(', ')}${more}</td>
    <td data-label="Edit"><code>${record.edit}</code></td>
  </tr>`;
};

const renderPartner = (partner: PartnerId, current: PartnerId): Markup => {
  const address = `/history?partner=${encodeURIComponent(partner)}`;
  return partner === current
    ? html`<li><a href="${address}" aria-current="true">${partner}</a></li>`
    : html`<li><a href="${address}">${partner}</a></li>`;
};

const renderPaging = (partner: PartnerId, page: number, pages: number): Markup => {
  const address = (to: number): string =>
    `/history?partner=${encodeURIComponent(partner)}&page=${String(to)}`;
  return html`<nav class="paging" aria-label="Pages of edits">
    <span>Page ${page} of ${pages}</span>
    ${page > 1 ? html`<a href="${address(page - 1)}">Newer</a>` : ''}
    ${page < pages ? html`<a href="${address(page + 1)}">Older</a>` : ''}
  </nav>`;
};

/** Renders one page of a history; `page` counts from 1, newest first. */
export const renderHistoryPage = (
  partners: readonly PartnerId[],
  history: HistoryBody,
  askedPage: number,
): Markup => {
  const pages = Math.max(1, Math.ceil(history.history.length / HISTORY_PAGE_EDITS));
  const page = Math.min(askedPage, pages);
  const start = (page - 1) * HISTORY_PAGE_EDITS;
  const records = [...history.history].reverse().slice(start, start + HISTORY_PAGE_EDITS);
  return html`
    <nav aria-label="Partners">
      <ul class="tabs">
        ${partners.map((partner) => renderPartner(partner, history.partner))}
      </ul>
    </nav>
    ${
      records.length === 0
        ? html`<p class="empty">No edits yet.</p>`
        : html`<table class="plain">
            <thead>
              <tr>
                <th scope="col">Version</th>
                <th scope="col">When</th>
                <th scope="col">Who</th>
                <th scope="col">Why</th>
                <th scope="col">Rows</th>
                <th scope="col">Edit</th>
              </tr>
            </thead>
            <tbody>
              ${records.map(renderRecord)}
            </tbody>
          </table>`
    }
    ${
      history.olderMissing === true
        ? html`<p>The store did not answer; older edits are not shown.</p>`
        : ''
    }
    ${renderPaging(history.partner, page, pages)}
  `;
};
