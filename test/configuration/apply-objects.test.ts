import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { StoreContent, StoreObject } from '../../src/catalog/store-object.js';
import { deriveInForce } from '../../src/core/configuration/derive-in-force.js';
import { applyObjects } from '../../src/core/configuration/apply-objects.js';
import { identifier } from '../../src/core/identifiers.js';
import { createCoreState } from '../../src/core/state.js';
import { sheetOf, statusOf } from '../support/store-contents.js';

const createState = () =>
  createCoreState({
    self: {
      node: identifier('bole-1'),
      zone: identifier('bole'),
      region: 'south',
      address: { host: '127.0.0.1', port: 1 },
      incarnation: 1,
    },
    seeds: [],
    seed: 1,
  });

const objectOf = (
  name: string,
  version: number,
  revision: number,
  content: StoreContent,
): StoreObject => ({ name: identifier(name), version, revision, content });

const KINDS: readonly ((step: number) => { name: string; content: StoreContent })[] = [
  (step) => ({ name: 'sheet/tawe', content: sheetOf('tawe', step) }),
  (step) => ({ name: `status/tawe/s${step % 3}`, content: statusOf('tawe', `s${step % 3}`, step) }),
  () => ({
    name: 'layout/tawe',
    content: { type: 'layout', layout: { partner: identifier('tawe'), snapshots: [] } },
  }),
  (step) => ({
    name: `keys/p${step % 2}`,
    content: { type: 'keys', keys: { partner: identifier(`p${step % 2}`), keys: [] } },
  }),
  (step) => ({
    name: `keepers/${step % 2}`,
    content: { type: 'keepers', roster: { period: step, keepers: [] } },
  }),
  () => ({ name: 'agreement', content: { type: 'agreement', agreement: { shares: [] } } }),
];

describe('applyObjects', () => {
  it('updates the tables to the same result as deriving them anew', () => {
    const batches = fc.array(fc.array(fc.integer({ min: 0, max: KINDS.length - 1 })), {
      maxLength: 8,
    });
    fc.assert(
      fc.property(batches, (kinds) => {
        const state = createState();
        let revision = 0;
        for (const batch of kinds) {
          const objects = batch.map((kind) => {
            revision += 1;
            const { name, content } = (KINDS[kind] as (typeof KINDS)[number])(revision);
            return objectOf(name, revision, revision, content);
          });
          applyObjects(state, objects);
        }
        const { inForce, objects } = state.configuration;
        expect(inForce).toEqual(deriveInForce(objects.values()));
      }),
      { seed: 5, numRuns: 100 },
    );
  });

  it('does not replace an object by one with an older version or revision', () => {
    const state = createState();
    const held = objectOf('sheet/tawe', 7, 90, sheetOf('tawe', 7));
    applyObjects(state, [held]);
    const older = [
      objectOf('sheet/tawe', 6, 105, sheetOf('tawe', 6)),
      objectOf('sheet/tawe', 7, 105, sheetOf('tawe', 1)),
      objectOf('sheet/tawe', 8, 60, sheetOf('tawe', 8)),
    ];
    expect(applyObjects(state, older)).toBe(0);
    expect(state.configuration.objects.get(held.name)).toBe(held);
    expect(state.counters.configuration_older_refused).toBe(3);
  });
});
