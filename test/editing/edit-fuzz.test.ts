import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { identifier } from '../../src/core/identifiers.js';
import { step } from '../../src/core/reducer.js';
import { objectOfEdit } from '../../src/core/editing/decide-edit.js';
import type { EditAction, EditOutcome, EditRequest, RowChange } from '../../src/table/edit.js';
import { rowKey } from '../../src/table/row-key.js';
import type { RouteRow } from '../../src/table/route-row.js';
import { arbitraryRow } from '../table/rows.js';
import { EditingWorld, sheetName } from './editing-world.js';
import { createEdit } from './edits.js';

const PARTNERS = ['ensemble', 'tawe'] as const;
const NAMES = ['a', 'b'] as const;
/** Placeholder for the partner of the edit. */
const OWN = 'own';

const partner = () => fc.constantFrom(...PARTNERS);

/** Placeholder for the current version when the edit is sent; other values are used unchanged. */
const CURRENT = 1_000;
const basedOn = () => fc.oneof({ weight: 4, arbitrary: fc.constant(CURRENT) }, fc.nat({ max: 6 }));

/** Generates rows with few names, some of another partner, some with a value of the wrong type. */
const row = (): fc.Arbitrary<RouteRow> =>
  fc
    .tuple(
      arbitraryRow(),
      fc.oneof({ weight: 6, arbitrary: fc.constant(OWN) }, partner()),
      fc.constantFrom(...NAMES),
      fc.constantFrom(...NAMES),
      fc.oneof(
        { weight: 6, arbitrary: fc.constant(null) },
        fc.constantFrom('weight', 'services', 'coverage', 'route'),
      ),
      fc.anything(),
    )
    .map(([any, owner, route, kind, broken, value]) => ({
      ...any,
      partner: identifier(owner),
      route: identifier(route),
      kind: identifier(kind),
      ...(broken === null ? {} : { [broken]: value }),
    }));

const change = () =>
  fc.oneof(
    fc.record({ type: fc.constant('set' as const), row: row(), basedOn: basedOn() }),
    fc.record({
      type: fc.constant('remove' as const),
      route: fc.constantFrom(...NAMES).map((name) => identifier<RouteRow['route']>(name)),
      kind: fc.constantFrom(...NAMES).map((name) => identifier<RouteRow['kind']>(name)),
      basedOn: basedOn(),
    }),
  );

const shares = () =>
  fc.array(
    fc.record({
      partner: partner().map((name) => identifier<RouteRow['partner']>(name)),
      share: fc.constantFrom(0, 0.4, 0.5, 0.6, 1, -1, Number.NaN),
    }),
    { maxLength: 3 },
  );

const proposal = () => fc.constantFrom('p-1', 'p-2');

const action = (): fc.Arbitrary<EditAction> =>
  fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({
        type: fc.constant('change-rows' as const),
        changes: fc.array(change(), { minLength: 1, maxLength: 3 }),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        type: fc.constant('propose-agreement' as const),
        proposal: proposal(),
        shares: shares(),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        type: fc.constant('approve-agreement' as const),
        proposal: proposal(),
        shares: shares(),
      }),
    },
  );

const edits = () =>
  fc.array(
    fc.record({
      by: partner(),
      id: fc.integer({ min: 0, max: 12 }),
      seen: basedOn(),
      action: action(),
    }),
    { minLength: 1, maxLength: 12 },
  );

const reasonsOf = (outcome: EditOutcome): readonly string[] => {
  switch (outcome.type) {
    case 'refused':
      return outcome.findings.map(({ place }) => place);
    case 'conflict':
      return outcome.conflicts.map((conflict) => conflict.row);
    case 'accepted':
      return ['accepted', ...outcome.findings.map(({ place }) => place)];
    case 'expired':
    case 'unknown':
      return [outcome.problem];
  }
};

/** Replaces `CURRENT` by the current versions, and `OWN` by the partner of the edit. */
const resolveVersions = (world: EditingWorld, edit: EditRequest): EditRequest => {
  const object = world.store.read(objectOfEdit(edit));
  const rows = object?.content.type === 'sheet' ? object.content.sheet.rows : [];
  const seenVersion = edit.seenVersion === CURRENT ? (object?.version ?? 0) : edit.seenVersion;
  if (edit.action.type !== 'change-rows') {
    return { ...edit, seenVersion };
  }
  const changes = edit.action.changes.map((each): RowChange => {
    const key = rowKey(each.type === 'set' ? each.row : each);
    const rowVersion = rows.find((standing) => rowKey(standing.row) === key)?.rowVersion ?? 0;
    const based = each.basedOn === CURRENT ? rowVersion : each.basedOn;
    if (each.type === 'remove') {
      return { ...each, basedOn: based };
    }
    const owner = (each.row.partner as string) === OWN ? edit.partner : each.row.partner;
    return { ...each, row: { ...each.row, partner: owner }, basedOn: based };
  });
  return { ...edit, seenVersion, action: { ...edit.action, changes } };
};

const rowsOf = (world: EditingWorld, owner: string): readonly RouteRow[] => {
  const content = world.store.read(sheetName(owner))?.content;
  return content?.type === 'sheet' ? content.sheet.rows.map((each) => each.row) : [];
};

describe('arbitrary edits', () => {
  it('never crash the core, never change rows of another partner, and never fail without a reason', () => {
    const outcomes = new Map<EditOutcome['type'], number>();
    fc.assert(
      fc.property(edits(), fc.integer({ min: 1, max: 1_000 }), (sequence, seed) => {
        const world = new EditingWorld({ nodes: 2, seed, step });
        world.store.setFaults({ loseAnswerShare: 0.2 });
        for (const { by, id, seen, action: wanted } of sequence) {
          const others = PARTNERS.filter((each) => each !== by);
          const before = JSON.stringify(others.map((each) => rowsOf(world, each)));
          const generated = createEdit(wanted, { edit: `e-${id}`, partner: by, seenVersion: seen });
          const outcome = world.edit(id % 2, resolveVersions(world, generated));
          outcomes.set(outcome.type, (outcomes.get(outcome.type) ?? 0) + 1);
          const reasons = reasonsOf(outcome);
          expect(reasons.length).toBeGreaterThan(0);
          expect(reasons.every((reason) => reason.trim() !== '')).toBe(true);
          expect(JSON.stringify(others.map((each) => rowsOf(world, each)))).toBe(before);
          expect(rowsOf(world, by).every((each) => each.partner === by)).toBe(true);
        }
      }),
      { seed: 8, numRuns: 600 },
    );
    // The generated edits must cover all of these outcomes.
    expect(outcomes.get('accepted')).toBeGreaterThan(300);
    expect(outcomes.get('refused')).toBeGreaterThan(300);
    expect(outcomes.get('conflict')).toBeGreaterThan(100);
  });
});
