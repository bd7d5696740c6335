/** Converts a sheet form to an edit, and assigns findings to the cells of the form. */
import { Left, Right, type Either } from 'purify-ts';
import {
  identifier,
  type PartnerId,
  type RequestKind,
  type RouteName,
} from '../../core/identifiers.js';
import { parseEditBody, type EditBody } from '../../operator-protocol/edit-body.js';
import { describeAllowed, parseCell } from '../../table/cell.js';
import type { Column, ColumnName } from '../../table/columns.js';
import type { RowChange } from '../../table/edit.js';
import type { Finding } from '../../table/finding.js';
import type { RouteRow } from '../../table/route-row.js';
import { rowPlace } from '../../table/row-key.js';
import { FORM_COLUMNS } from './column-title.js';
import { isEdited, type FormRow, type SheetForm } from './sheet-form.js';

/** A finding with its position in the form, if it has one. */
export interface FormFinding extends Finding {
  /** Position of the row in the form. */
  readonly position?: number;
  readonly column?: ColumnName;
}

const keyOf = (row: FormRow): string => `${row.cells.route}/${row.cells.kind}`;

const findingAt = (
  partner: PartnerId,
  row: FormRow,
  position: number,
  column: Column,
  problem: string,
): FormFinding => ({
  severity: 'error',
  place: rowPlace(`sheet/${partner}`, keyOf(row), column.name),
  problem,
  allowed: describeAllowed(column),
  position,
  column: column.name,
});

const readRemoval = (row: FormRow): RowChange => ({
  type: 'remove',
  route: identifier<RouteName>(row.cells.route),
  kind: identifier<RequestKind>(row.cells.kind),
  basedOn: row.basedOn,
});

const readSetChange = (
  partner: PartnerId,
  row: FormRow,
  position: number,
): Either<FormFinding[], RowChange> => {
  const findings: FormFinding[] = [];
  const values: Record<string, unknown> = { partner };
  for (const column of FORM_COLUMNS) {
    parseCell(column, row.cells[column.name]).caseOf({
      Left: (problem) => findings.push(findingAt(partner, row, position, column, problem)),
      Right: (value) => {
        if (value !== undefined) {
          values[column.name] = value;
        }
        return 0;
      },
    });
  }
  const change = { type: 'set', row: values as unknown as RouteRow, basedOn: row.basedOn } as const;
  return findings.length > 0 ? Left(findings) : Right(change);
};

const readChanges = (partner: PartnerId, form: SheetForm): Either<FormFinding[], RowChange[]> => {
  const findings: FormFinding[] = [];
  const changes: RowChange[] = [];
  form.rows.forEach((row, position) => {
    if (!isEdited(row)) {
      return;
    }
    const change = row.removed ? Right(readRemoval(row)) : readSetChange(partner, row, position);
    change.caseOf({
      Left: (problems) => findings.push(...problems),
      Right: (read) => changes.push(read),
    });
  });
  return findings.length > 0 ? Left(findings) : Right(changes);
};

/** Assigns the findings of an edit to the rows and columns of the form. */
export const locateInForm = (form: SheetForm, findings: readonly Finding[]): FormFinding[] => {
  const positions = new Map(form.rows.map((row, position) => [keyOf(row), position]));
  return findings.map((finding) => {
    const [, key = '', columnName] = / row (\S+)(?: column (\S+))?$/.exec(finding.place) ?? [];
    const position = positions.get(key);
    const column = FORM_COLUMNS.find(({ name }) => name === columnName)?.name;
    return {
      ...finding,
      ...(position === undefined ? {} : { position }),
      ...(column === undefined ? {} : { column }),
    };
  });
};

/** Reads the edit from a form; undefined when nothing was changed. */
export const readFormEdit = (
  partner: PartnerId,
  form: SheetForm,
): Either<FormFinding[], EditBody | undefined> =>
  readChanges(partner, form).chain((changes): Either<FormFinding[], EditBody | undefined> => {
    if (changes.length === 0) {
      return Right(undefined);
    }
    const { edit, reason, seenVersion } = form;
    const body = { edit, reason, seenVersion, action: { type: 'change-rows', changes } };
    return parseEditBody(body).mapLeft((findings) => locateInForm(form, findings));
  });
