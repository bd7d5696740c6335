/** The pages shown after an edit: accepted, in conflict, of unknown outcome, or not applied. */
import { html } from 'hono/html';
import type { RevisionsBody } from '../../operator-protocol/status-body.js';
import type { EditConflict, EditOutcome } from '../../table/edit.js';
import type { SheetRow } from '../../table/sheet.js';
import type { Session } from '../session/sessions.js';
import { columnTitleWithUnit, FORM_COLUMNS } from './column-title.js';
import { renderFindingsList } from './findings-list.js';
import { locateInForm } from './form-edit.js';
import type { Markup } from './markup.js';
import { describeNodesInForce } from './node-list.js';
import { renderFormToken } from './page-frame.js';
import {
  fieldName,
  formatCells,
  isEdited,
  type CellTexts,
  type FormRow,
  type SheetForm,
} from './sheet-form.js';

/** The context in which an outcome is shown. */
export interface OutcomePage {
  readonly session: Session;
  /** Path of the page on which the edit was made. */
  readonly returnPath: string;
  readonly revisions: RevisionsBody;
}

type Accepted = Extract<EditOutcome, { type: 'accepted' }>;
type Conflict = Extract<EditOutcome, { type: 'conflict' }>;

const renderHiddenRow = (row: FormRow, position: number, basedOn: number): Markup => html`
  ${FORM_COLUMNS.map(
    ({ name }) =>
      html`<input type="hidden" name="${fieldName(position, name)}" value="${row.cells[name]}" />`,
  )}
  <input type="hidden" name="${fieldName(position, 'based-on')}" value="${basedOn}" />
  <input type="hidden" name="${fieldName(position, 'shown')}" value="" />
  <input
    type="hidden"
    name="${fieldName(position, 'removed')}"
    value="${row.removed ? 'yes' : 'no'}"
  />
`;

const renderHiddenForm = (page: OutcomePage, form: SheetForm, edit: string): Markup => html`
  ${renderFormToken(page.session)}
  <input type="hidden" name="edit" value="${edit}" />
  <input type="hidden" name="reason" value="${form.reason}" />
  <input type="hidden" name="seen-version" value="${form.seenVersion}" />
`;

/** Renders an accepted edit, with its warnings and the number of nodes on which it is in force. */
export const renderAccepted = (page: OutcomePage, outcome: Accepted): Markup => html`
  <p class="notice good" role="status">
    Accepted as version ${outcome.version}.
    <span id="spread" data-source="/in-force/spread?revision=${outcome.revision}"
      >${describeNodesInForce(page.revisions, outcome.revision)}</span
    >
  </p>
  ${renderFindingsList(locateInForm({ edit: '', reason: '', seenVersion: 0, rows: [] }, outcome.findings))}
  <p class="tools">
    <a class="button" href="/in-force?revision=${outcome.revision}">See where it is in force</a>
    <a class="button" href="${page.returnPath}">Back</a>
  </p>
`;

const currentTexts = (current: SheetRow | undefined): CellTexts | undefined =>
  current === undefined ? undefined : formatCells(current.row);

const renderDifferences = (conflict: EditConflict, wanted: FormRow | undefined): Markup => {
  const currentCells = currentTexts(conflict.current);
  const wantedCells = wanted === undefined || wanted.removed ? undefined : wanted.cells;
  const differing = FORM_COLUMNS.filter(({ name }) => currentCells?.[name] !== wantedCells?.[name]);
  return html`<table class="plain">
    <thead>
      <tr>
        <th scope="col">Column</th>
        <th scope="col">
          Current value, by ${conflict.current?.writtenBy ?? 'the operator who removed it'}
        </th>
        <th scope="col">Requested value, by ${conflict.wantedBy}</th>
      </tr>
    </thead>
    <tbody>
      ${differing.map(
        (column) =>
          html`<tr>
            <th scope="row" data-label="Column">${columnTitleWithUnit(column)}</th>
            <td data-label="Current value">
              ${currentCells === undefined ? 'removed' : currentCells[column.name]}
            </td>
            <td data-label="Requested value">
              ${wantedCells === undefined ? 'removed' : wantedCells[column.name]}
            </td>
          </tr>`,
      )}
    </tbody>
  </table>`;
};

const renderChoice = (conflict: EditConflict, position: number): Markup => html`
  <label>
    <input type="radio" name="${fieldName(position, 'resolve')}" value="theirs" checked />
    Keep the current value of ${conflict.row}
  </label>
  <label>
    <input type="radio" name="${fieldName(position, 'resolve')}" value="mine" />
    Write mine over it
  </label>
`;

const renderConflict = (form: SheetForm, conflict: EditConflict): Markup => {
  const position = form.rows.findIndex(
    (row) => `${row.cells.route}/${row.cells.kind}` === conflict.row,
  );
  const wanted = form.rows[position];
  return html`<fieldset class="card">
    <legend>${conflict.row}</legend>
    ${renderDifferences(conflict, wanted)}
    ${
      wanted === undefined
        ? ''
        : html`${renderChoice(conflict, position)}
          ${renderHiddenRow(wanted, position, conflict.current?.rowVersion ?? 0)}`
    }
  </fieldset>`;
};

const renderOtherRows = (form: SheetForm, inConflict: ReadonlySet<string>): Markup => {
  const others = form.rows
    .map((row, position) => ({ row, position }))
    .filter(({ row }) => isEdited(row))
    .filter(({ row }) => !inConflict.has(`${row.cells.route}/${row.cells.kind}`));
  return html`
    ${
      others.length === 0
        ? ''
        : html`<p>
            Also in this edit:
            ${others.map(({ row }) => `${row.cells.route}/${row.cells.kind}`).join(', ')}.
          </p>`
    }
    ${others.map(({ row, position }) => renderHiddenRow(row, position, row.basedOn))}
  `;
};

/** Renders a conflict: both values, their authors, and a form to choose between them. */
export const renderConflicts = (
  page: OutcomePage,
  form: SheetForm,
  outcome: Conflict,
  newEdit: string,
): Markup => {
  const versions = outcome.conflicts.map(({ current }) => current?.rowVersion ?? 0);
  const seenVersion = Math.max(form.seenVersion, ...versions);
  return html`
    <p class="notice error" role="alert">
      Nothing was written: another operator changed a row after this page was loaded.
    </p>
    <form method="post" action="${page.returnPath}">
      ${renderHiddenForm(page, { ...form, seenVersion }, newEdit)}
      ${outcome.conflicts.map((conflict) => renderConflict(form, conflict))}
      ${renderOtherRows(form, new Set(outcome.conflicts.map(({ row }) => row)))}
      <button class="main">Save as chosen</button>
      <a class="button" href="${page.returnPath}">Discard my changes</a>
    </form>
  `;
};

/**
 * Renders an edit of unknown outcome; the same form can be sent again, as an edit is applied once.
 */
export const renderUnknown = (
  page: OutcomePage,
  fields: URLSearchParams,
  problem: string,
): Markup => html`
  <p class="notice error" role="alert">
    It is not known yet whether the edit took effect: ${problem} Send it again to see the outcome;
    an edit is never applied twice.
  </p>
  <form method="post" action="${page.returnPath}">
    ${[...fields].map(
      ([name, value]) => html`<input type="hidden" name="${name}" value="${value}" />`,
    )}
    <button class="main">Send the same edit again</button>
  </form>
`;

/** Renders an edit that was not applied, with the reason. */
export const renderNotApplied = (page: OutcomePage, problem: string): Markup => html`
  <p class="notice error" role="alert">${problem}</p>
  <p><a class="button" href="${page.returnPath}">Back</a></p>
`;
