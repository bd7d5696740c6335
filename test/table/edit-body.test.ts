import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { editOutcomeBodySchema } from '../../src/operator-protocol/edit-outcome-body.js';
import { parseEditBody } from '../../src/operator-protocol/edit-body.js';
import { createRow } from './rows.js';

const bodyOf = (row: unknown): unknown => ({
  edit: 'e-1',
  reason: 'season opens',
  seenVersion: 3,
  action: { type: 'change-rows', changes: [{ type: 'set', row, basedOn: 2 }] },
});

describe('parseEditBody', () => {
  it('accepts a complete edit and fills in the defaults of its rows', () => {
    const { weight, ...row } = createRow();
    const body = parseEditBody(bodyOf(row)).unsafeCoerce();
    const change = { type: 'set', row: { ...row, weight }, basedOn: 2 };
    expect(body.action).toEqual({ type: 'change-rows', changes: [change] });
  });

  it('reports the row and column of each invalid value', () => {
    const row = { ...createRow(), weight: 0, deadlineMs: '5', colour: 'red' };
    const found = parseEditBody(bodyOf(row)).swap().unsafeCoerce();
    expect(found.map((finding) => finding.place)).toEqual([
      'edit row roster/page column weight',
      'edit row roster/page column deadlineMs',
      'edit row roster/page column "colour"',
    ]);
  });

  it('refuses a reason with control characters or text direction marks', () => {
    const body = { ...(bodyOf(createRow()) as object), reason: 'season\u001B[2J opens' };
    const found = parseEditBody(body).swap().unsafeCoerce();
    expect(found).toMatchObject([{ place: 'edit.reason' }]);
    const marked = { ...(bodyOf(createRow()) as object), reason: 'season\u202E opens' };
    expect(parseEditBody(marked).isLeft()).toBe(true);
  });

  it('reports the place of invalid fields outside the rows', () => {
    const found = parseEditBody({ edit: '', action: { type: 'drop' } })
      .swap()
      .unsafeCoerce();
    expect(found.map((finding) => finding.place)).toEqual(
      expect.arrayContaining(['edit.edit', 'edit.reason', 'edit.seenVersion', 'edit.action.type']),
    );
  });

  it('does not throw and reports a place with each finding, for any JSON', () => {
    const json = fc.oneof(fc.jsonValue(), fc.jsonValue().map(bodyOf));
    fc.assert(
      fc.property(json, (body) => {
        const found = parseEditBody(body).swap().orDefault([]);
        expect(found.every((finding) => finding.place.startsWith('edit'))).toBe(true);
      }),
      { seed: 4, numRuns: 500 },
    );
  });
});

describe('editOutcomeBodySchema', () => {
  it('parses an outcome from JSON without a change', () => {
    const change = { type: 'remove', route: 'roster', kind: 'page', basedOn: 2 };
    const current = { row: createRow(), rowVersion: 3, writtenBy: 'mair' };
    const conflicts = [{ row: 'roster/page', current, wanted: change, wantedBy: 'owen' }];
    const outcome = { type: 'conflict', edit: 'e-1', conflicts };
    expect(editOutcomeBodySchema.parse(JSON.parse(JSON.stringify(outcome)))).toEqual(outcome);
  });
});
