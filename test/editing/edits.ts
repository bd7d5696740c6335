/** Builders of edits for tests. */
import { identifier } from '../../src/core/identifiers.js';
import type { EditAction, EditRequest, RowChange } from '../../src/table/edit.js';
import { createRow, type RowOverrides } from '../table/rows.js';

interface EditOverrides {
  readonly edit?: string;
  readonly partner?: string;
  readonly operator?: string;
  readonly seenVersion?: number;
}

/** Creates an edit with `action`. */
export const createEdit = (action: EditAction, overrides: EditOverrides = {}): EditRequest => ({
  edit: identifier(overrides.edit ?? 'e-1'),
  partner: identifier(overrides.partner ?? 'ensemble'),
  operator: overrides.operator ?? 'mair',
  reason: 'season opens',
  seenVersion: overrides.seenVersion ?? 0,
  writtenAt: 1_000,
  action,
});

/** Creates a change that sets a row. */
export const setRow = (row: RowOverrides, basedOn = 0): RowChange => ({
  type: 'set',
  row: createRow(row),
  basedOn,
});

/** Creates a change that removes a row. */
export const removeRow = (kind: string, basedOn: number): RowChange => ({
  type: 'remove',
  route: identifier('roster'),
  kind: identifier(kind),
  basedOn,
});

/** Creates an edit of rows. */
export const editRows = (
  changes: readonly RowChange[],
  overrides: EditOverrides = {},
): EditRequest => createEdit({ type: 'change-rows', changes }, overrides);
