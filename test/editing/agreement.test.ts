import { describe, expect, it } from 'vitest';
import { identifier } from '../../src/core/identifiers.js';
import { step } from '../../src/core/reducer.js';
import type { Agreement, PoolShare } from '../../src/table/agreement.js';
import type { EditOutcome } from '../../src/table/edit.js';
import { EditingWorld } from './editing-world.js';
import { createEdit, editRows, setRow } from './edits.js';

const shares = (ensemble: number, tawe = 1 - ensemble): PoolShare[] => [
  { partner: identifier('ensemble'), share: ensemble },
  { partner: identifier('tawe'), share: tawe },
];

const createWorld = (): EditingWorld => {
  const world = new EditingWorld({ nodes: 2, seed: 5, step });
  for (const partner of ['ensemble', 'tawe']) {
    world.edit(0, editRows([setRow({ partner })], { partner }));
  }
  world.run(() => false);
  return world;
};

const versionOf = (world: EditingWorld): number => world.store.read('agreement')?.version ?? 0;

const propose = (
  world: EditingWorld,
  partner: string,
  proposal: string,
  wanted: readonly PoolShare[],
): EditOutcome => {
  const action = { type: 'propose-agreement', proposal, shares: wanted } as const;
  const edit = `propose-${proposal}-${versionOf(world)}`;
  return world.edit(0, createEdit(action, { partner, edit, seenVersion: versionOf(world) }));
};

const approve = (
  world: EditingWorld,
  partner: string,
  proposal: string,
  seen: readonly PoolShare[],
  seenVersion = versionOf(world),
): EditOutcome => {
  const action = { type: 'approve-agreement', proposal, shares: seen } as const;
  const edit = `approve-${proposal}-${partner}`;
  return world.edit(1, createEdit(action, { partner, edit, seenVersion }));
};

const agreementOf = (world: EditingWorld): Agreement => {
  const content = world.store.read('agreement')?.content;
  return content?.type === 'agreement' ? content.agreement : { shares: [] };
};

const problems = (outcome: EditOutcome): string[] =>
  outcome.type === 'refused' ? outcome.findings.map((finding) => finding.problem) : [];

describe('the agreement', () => {
  it('comes into force only when both partners have approved the same proposal', () => {
    const world = createWorld();
    propose(world, 'ensemble', 'p-1', shares(0.6));
    expect(agreementOf(world).shares).toEqual([]);
    expect(approve(world, 'ensemble', 'p-1', shares(0.6)).type).toBe('accepted');
    expect(agreementOf(world).shares).toEqual([]);
    expect(approve(world, 'tawe', 'p-1', shares(0.6)).type).toBe('accepted');
    expect(agreementOf(world)).toMatchObject({ shares: shares(0.6), proposals: [] });
    expect(agreementOf(world).history).toHaveLength(3);
  });

  it('keeps the shares in force while a new proposal is pending', () => {
    const world = createWorld();
    propose(world, 'ensemble', 'p-1', shares(0.6));
    approve(world, 'tawe', 'p-1', shares(0.6));
    propose(world, 'tawe', 'p-2', shares(0.1));
    expect(agreementOf(world).shares).toEqual(shares(0.6));
  });

  it('refuses an approval with other shares than those proposed', () => {
    const world = createWorld();
    propose(world, 'ensemble', 'p-1', shares(0.6));
    const outcome = approve(world, 'tawe', 'p-1', shares(0.5));
    expect(problems(outcome)).toEqual(['has other shares than those approved']);
    expect(agreementOf(world).shares).toEqual([]);
  });

  it("keeps the other partner's proposal and replaces an earlier one of the same partner", () => {
    const world = createWorld();
    propose(world, 'ensemble', 'p-1', shares(0.6));
    propose(world, 'tawe', 'p-2', shares(0.4));
    propose(world, 'ensemble', 'p-3', shares(0.5));
    const proposals = agreementOf(world).proposals?.map(({ proposal }) => proposal);
    expect(proposals).toEqual(['p-2', 'p-3']);
    const gone = approve(world, 'tawe', 'p-1', shares(0.6));
    expect(problems(gone)).toEqual(['does not stand, or no longer']);
  });

  it('reports all invalid shares and missing partners of an edit, and refuses a duplicate proposal name', () => {
    const world = createWorld();
    const alone = [{ partner: identifier<never>('ensemble'), share: 1.5 }];
    expect(problems(propose(world, 'ensemble', 'p-1', alone))).toEqual([
      '1.5 is not from 0 to 1',
      'is missing',
      'needs the shares of two partners or more',
      'the shares sum to 1.5, not to 1',
    ]);
    propose(world, 'ensemble', 'p-2', shares(0.6));
    const again = propose(world, 'ensemble', 'p-2', shares(0.7));
    expect(problems(again)).toEqual(['stands already']);
  });

  it('refuses an approval that is based on an earlier version', () => {
    const world = createWorld();
    propose(world, 'ensemble', 'p-1', shares(0.6));
    const seen = versionOf(world);
    propose(world, 'ensemble', 'p-2', shares(0.5));
    const outcome = approve(world, 'tawe', 'p-2', shares(0.5), seen);
    expect(problems(outcome)).toEqual(['was changed since version 1']);
    expect(agreementOf(world).shares).toEqual([]);
  });

  it('refuses an approval of a partner that it does not concern', () => {
    const world = createWorld();
    propose(world, 'ensemble', 'p-1', shares(0.6));
    const outcome = approve(world, 'elsewhere', 'p-1', shares(0.6));
    expect(problems(outcome)).toEqual(['does not concern elsewhere']);
  });
});
