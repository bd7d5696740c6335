/** The table page: the rows of one partner, editable for that partner's operators. */
import { html } from 'hono/html';
import type { PartnerId } from '../../core/identifiers.js';
import { REASON_LIMIT } from '../../operator-protocol/edit-body.js';
import type { Session } from '../session/sessions.js';
import { renderFindingsList } from './findings-list.js';
import type { FormFinding } from './form-edit.js';
import { formatCount, type Markup } from './markup.js';
import { renderFormToken } from './page-frame.js';
import type { SheetForm } from './sheet-form.js';
import { renderColumnHelp, renderEditableGrid, renderReadOnlyGrid } from './sheet-grid.js';
import {
  BLANK_ROWS_LIMIT,
  tableAddress,
  type SelectedRows,
  type TableQuery,
} from './table-query.js';

/** The content of a table page. */
export interface TablePage {
  readonly session: Session;
  readonly partners: readonly PartnerId[];
  readonly query: TableQuery;
  readonly selected: SelectedRows;
  readonly form: SheetForm;
  readonly findings: readonly FormFinding[];
  /** Explains why no edit was sent, e.g. because nothing was changed. */
  readonly notice?: string;
}

const renderPartner = (page: TablePage, partner: PartnerId): Markup => {
  const address = tableAddress({ partner, filter: '', page: 1, blankRows: 0 });
  const own = partner === page.session.identity.partner ? ' (own)' : '';
  return partner === page.query.partner
    ? html`<li><a href="${address}" aria-current="true">${partner}${own}</a></li>`
    : html`<li><a href="${address}">${partner}${own}</a></li>`;
};

const renderFilter = ({ query }: TablePage): Markup => html`
  <form method="get" action="/table" class="filter" role="search">
    <input type="hidden" name="partner" value="${query.partner}" />
    <label for="filter">Filter</label>
    <input
      id="filter"
      name="filter"
      type="search"
      value="${query.filter}"
      placeholder="route, kind or service"
      maxlength="100"
    />
    <button>Show</button>
  </form>
`;

const renderPaging = ({ query, selected }: TablePage): Markup => {
  const { page, pages, first, matching, rows } = selected;
  const last = first === 0 ? 0 : first + rows.length - 1;
  const link = (to: number, title: string): Markup =>
    html`<a href="${tableAddress(query, { page: to, blankRows: 0 })}">${title}</a>`;
  return html`<nav class="paging" aria-label="Pages of rows">
    <span>Rows ${formatCount(first)} to ${formatCount(last)} of ${formatCount(matching)}</span>
    ${page > 1 ? html`${link(1, 'First')} ${link(page - 1, 'Previous')}` : ''}
    ${page < pages ? html`${link(page + 1, 'Next')} ${link(pages, 'Last')}` : ''}
  </nav>`;
};

const renderSave = ({ form }: TablePage): Markup => html`
  <div class="save">
    <label for="reason">Reason for the change</label>
    <input
      id="reason"
      name="reason"
      value="${form.reason}"
      maxlength="${REASON_LIMIT}"
      required
      autocomplete="off"
    />
    <button class="main">Save changes</button>
  </div>
`;

const renderForm = (page: TablePage): Markup => {
  const { query, form } = page;
  return html`<form method="post" action="${tableAddress(query)}" data-guard>
    ${renderFormToken(page.session)}
    <input type="hidden" name="edit" value="${form.edit}" />
    <input type="hidden" name="seen-version" value="${form.seenVersion}" />
    ${
      form.rows.length === 0
        ? html`<p class="empty">No rows here.</p>`
        : renderEditableGrid(query.partner, form, page.findings)
    }
    ${form.rows.length === 0 ? '' : renderSave(page)}
  </form>`;
};

const renderAddLink = ({ query }: TablePage): Markup | string => {
  const blankRows = Math.min(query.blankRows + 1, BLANK_ROWS_LIMIT);
  return blankRows === query.blankRows
    ? ''
    : html`<a class="button" href="${tableAddress(query, { blankRows })}">Add a row</a>`;
};

const renderRows = (page: TablePage): Markup => {
  if (page.query.partner === page.session.identity.partner) {
    return renderForm(page);
  }
  return page.form.rows.length === 0
    ? html`<p class="empty">No rows here.</p>`
    : renderReadOnlyGrid(page.query.partner, page.form.rows);
};

/** Renders the table page. */
export const renderTablePage = (page: TablePage): Markup => {
  const own = page.query.partner === page.session.identity.partner;
  return html`
    ${page.notice === undefined ? '' : html`<p class="notice" role="status">${page.notice}</p>`}
    ${renderFindingsList(page.findings)}
    <div class="tools">
      <nav aria-label="Partners">
        <ul class="tabs">
          ${page.partners.map((partner) => renderPartner(page, partner))}
        </ul>
      </nav>
      ${renderFilter(page)} ${own ? renderAddLink(page) : ''}
    </div>
    ${own ? '' : html`<p class="hint">Rows of the other partner are read-only.</p>`}
    ${renderRows(page)} ${renderPaging(page)} ${renderColumnHelp()}
  `;
};
