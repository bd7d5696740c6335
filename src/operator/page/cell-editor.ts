/** A cell of the sheet form: its labelled input and its findings. */
import { html, raw } from 'hono/html';
import { mayBeEmpty } from '../../table/cell.js';
import type { ChoiceColumn, Column, FlagColumn } from '../../table/columns.js';
import { formatFindingText } from './finding-text.js';
import { columnTitle, columnTitleWithUnit } from './column-title.js';
import type { FormFinding } from './form-edit.js';
import { flagAttribute, type Markup } from './markup.js';
import { fieldName, type FormRow } from './sheet-form.js';

/** Longest text of an input, in characters. */
const INPUT_LIMIT = 4_200;

/** The content of a cell. */
export interface CellContent {
  readonly column: Column;
  readonly row: FormRow;
  readonly position: number;
  /** Findings for this cell only. */
  readonly findings: readonly FormFinding[];
}

/** Element id of a cell's input, which the list of findings links to. */
export const cellId = (position: number, column: string): string =>
  `cell-${String(position)}-${column}`;

const labelOf = ({ column, row }: CellContent): string => {
  const name = row.cells.route === '' ? 'the new row' : `${row.cells.route}/${row.cells.kind}`;
  return `${columnTitleWithUnit(column)} of ${name}`;
};

const describeBy = ({ position, column, findings }: CellContent): unknown =>
  findings.length === 0
    ? ''
    : html` aria-invalid="true" aria-describedby="${cellId(position, column.name)}-findings"`;

const optionsOf = (column: ChoiceColumn | FlagColumn): readonly string[] =>
  column.type === 'choice' ? column.choices : ['true', 'false'];

const renderOption = (option: string, chosen: string): Markup =>
  html`<option value="${option}" ${flagAttribute('selected', option === chosen)}>
    ${option === 'true' ? 'yes' : option === 'false' ? 'no' : option}
  </option>`;

const renderSelect = (content: CellContent, column: ChoiceColumn | FlagColumn): Markup => {
  const text = content.row.cells[column.name];
  const options = optionsOf(column);
  const offered = options.includes(text) ? options : [text, ...options];
  return html`<select
    id="${cellId(content.position, column.name)}"
    name="${fieldName(content.position, column.name)}"
    aria-label="${labelOf(content)}"
    ${describeBy(content)}
  >
    ${offered.map((option) => renderOption(option, text))}
  </select>`;
};

const renderInput = (content: CellContent): Markup => {
  const { column, position, row } = content;
  const mode = column.type === 'number' ? raw(' inputmode="decimal"') : '';
  return html`<input
    id="${cellId(position, column.name)}"
    name="${fieldName(position, column.name)}"
    value="${row.cells[column.name]}"
    aria-label="${labelOf(content)}"
    class="${column.type}"
    maxlength="${INPUT_LIMIT}"
    autocomplete="off"
    spellcheck="false"
    ${mode}${describeBy(content)}${flagAttribute('required', !mayBeEmpty(column) && row.basedOn > 0)}
  />`;
};

const renderFindings = ({ position, column, findings }: CellContent): Markup | string =>
  findings.length === 0
    ? ''
    : html`<ul class="cell-findings" id="${cellId(position, column.name)}-findings">
        ${findings.map((finding) => html`<li>${formatFindingText(finding)}</li>`)}
      </ul>`;

/** Whether the cell is part of the row's key, which cannot be edited once the row exists. */
const isFixed = ({ column, row }: CellContent): boolean =>
  row.basedOn > 0 && (column.name === 'route' || column.name === 'kind');

const renderFixed = ({ column, row, position }: CellContent): Markup => html`
  <input
    type="hidden"
    name="${fieldName(position, column.name)}"
    value="${row.cells[column.name]}"
  />
  <span id="${cellId(position, column.name)}" tabindex="-1">${row.cells[column.name]}</span>
`;

const renderEditor = (content: CellContent): Markup => {
  if (isFixed(content)) {
    return renderFixed(content);
  }
  const { column } = content;
  return column.type === 'choice' || column.type === 'flag'
    ? renderSelect(content, column)
    : renderInput(content);
};

/** Renders an editable cell. */
export const renderCellEditor = (content: CellContent): Markup => {
  const invalid = content.findings.length > 0 ? 'invalid' : '';
  return html`<td data-label="${columnTitle(content.column.name)}" class="${invalid}">
    ${renderEditor(content)}${renderFindings(content)}
  </td>`;
};

/** Renders a cell that cannot be edited. */
export const renderCellText = (column: Column, row: FormRow): Markup =>
  html`<td data-label="${columnTitle(column.name)}" class="${column.type}">
    ${column.type === 'flag' ? (row.cells[column.name] === 'true' ? 'yes' : 'no') : row.cells[column.name]}
  </td>`;
