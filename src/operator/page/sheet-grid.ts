/** The rows of a sheet as an editable or a read-only grid. */
import { html } from 'hono/html';
import { describeAllowed } from '../../table/cell.js';
import { columnTitle, columnTitleWithUnit, FORM_COLUMNS } from './column-title.js';
import { renderCellEditor, renderCellText } from './cell-editor.js';
import type { FormFinding } from './form-edit.js';
import { flagAttribute, type Markup } from './markup.js';
import { fieldName, type FormRow, type SheetForm } from './sheet-form.js';

const renderHead = (last: Markup | string): Markup => html`
  <thead>
    <tr>
      ${FORM_COLUMNS.map(
        (column) =>
          html`<th scope="col" title="${column.help}">${columnTitleWithUnit(column)}</th>`,
      )}
      <th scope="col">Written by</th>
      ${last}
    </tr>
  </thead>
`;

const renderRemoval = (row: FormRow, position: number): Markup =>
  row.basedOn === 0
    ? html`<td data-label="Remove">new</td>`
    : html`<td data-label="Remove">
        <input
          type="checkbox"
          name="${fieldName(position, 'removed')}"
          value="yes"
          aria-label="Remove ${row.cells.route}/${row.cells.kind}"
          ${flagAttribute('checked', row.removed)}
        />
      </td>`;

const renderMeta = (row: FormRow, position: number): Markup => html`
  <td data-label="Written by">
    ${row.writtenBy}${row.basedOn === 0 ? '' : html` <small>v${row.basedOn}</small>`}
    <input type="hidden" name="${fieldName(position, 'based-on')}" value="${row.basedOn}" />
    <input type="hidden" name="${fieldName(position, 'shown')}" value="${row.shown}" />
    <input type="hidden" name="${fieldName(position, 'written-by')}" value="${row.writtenBy}" />
  </td>
`;

const renderEditedRow = (
  row: FormRow,
  position: number,
  findings: readonly FormFinding[],
): Markup => html`
  <tr>
    ${FORM_COLUMNS.map((column) =>
      renderCellEditor({
        column,
        row,
        position,
        findings: findings.filter((finding) => finding.column === column.name),
      }),
    )}
    ${renderMeta(row, position)} ${renderRemoval(row, position)}
  </tr>
`;

const groupByPosition = (findings: readonly FormFinding[]): Map<number, FormFinding[]> => {
  const groups = new Map<number, FormFinding[]>();
  for (const finding of findings) {
    if (finding.position !== undefined) {
      groups.set(finding.position, [...(groups.get(finding.position) ?? []), finding]);
    }
  }
  return groups;
};

const renderGrid = (label: string, head: Markup, rows: readonly Markup[]): Markup => html`
  <div class="scroll" role="region" aria-label="${label}" tabindex="0">
    <table class="sheet">
      ${head}
      <tbody>
        ${rows}
      </tbody>
    </table>
  </div>
`;

/** Renders the rows of a form with their findings. */
export const renderEditableGrid = (
  partner: string,
  form: SheetForm,
  findings: readonly FormFinding[],
): Markup => {
  const byPosition = groupByPosition(findings);
  return renderGrid(
    `Editable rows of ${partner}`,
    renderHead(html`<th scope="col">Remove</th>`),
    form.rows.map((row, position) =>
      renderEditedRow(row, position, byPosition.get(position) ?? []),
    ),
  );
};

const renderReadOnlyRow = (row: FormRow): Markup => html`
  <tr>
    ${FORM_COLUMNS.map((column) => renderCellText(column, row))}
    <td data-label="Written by">${row.writtenBy} <small>v${row.basedOn}</small></td>
  </tr>
`;

/** Renders rows without inputs. */
export const renderReadOnlyGrid = (partner: string, rows: readonly FormRow[]): Markup =>
  renderGrid(`Rows of ${partner}`, renderHead(''), rows.map(renderReadOnlyRow));

/** Renders the explanation of each column. */
export const renderColumnHelp = (): Markup => html`
  <details>
    <summary>What the columns mean</summary>
    <dl>
      ${FORM_COLUMNS.map(
        (column) =>
          html`<dt>${columnTitle(column.name)} <code>${column.name}</code></dt>
            <dd>${column.help} <small>Allowed: ${describeAllowed(column)}.</small></dd>`,
      )}
    </dl>
  </details>
`;
