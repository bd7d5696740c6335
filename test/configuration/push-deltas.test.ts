import { encode } from 'cbor-x';
import { describe, expect, it } from 'vitest';
import { identifier, type ObjectName } from '../../src/core/identifiers.js';
import type { StoreObject } from '../../src/catalog/store-object.js';
import { trimHistory } from '../../src/table/spread-history.js';
import { sheetOf } from '../support/store-contents.js';
import { VirtualCluster } from '../support/virtual-cluster.js';

const SHEET = 'sheet/ensemble';
const EARLIER_EDITS = 1_500;
const EDITS = 10;

describe('pushes of a sheet with a long history', () => {
  it.each([1, 2, 3])(
    'carry only the changes, and all nodes hold the same sheet (seed %i)',
    (seed) => {
      const sizes: number[] = [];
      let wholeSheets = 0;
      const cluster = new VirtualCluster({
        seed,
        onEffect: (_node, effect) => {
          if (effect.type === 'send-link' && effect.message.type === 'configuration-push') {
            sizes.push(encode(effect.message).length);
          }
          if (effect.type === 'send-link' && effect.message.type === 'configuration-page') {
            wholeSheets += effect.message.objects.filter(({ name }) => name === SHEET).length;
          }
        },
      });
      cluster.store.write(SHEET, sheetOf('ensemble', EARLIER_EDITS));
      cluster.startMany(12, ['bole', 'arada']);
      cluster.runUntil(
        () =>
          cluster.isConverged() &&
          cluster.running().every(({ state }) => state.phase === 'serving'),
        10_000,
      );
      cluster.run(5_000);
      sizes.length = 0;
      wholeSheets = 0;
      for (let edit = 1; edit <= EDITS; edit += 1) {
        cluster.store.write(SHEET, sheetOf('ensemble', EARLIER_EDITS + edit));
        cluster.run(1_000);
      }
      const whole = encode(cluster.store.objects.get(SHEET)).length;
      expect(sizes.length).toBeGreaterThanOrEqual(EDITS * 8);
      expect(Math.max(...sizes)).toBeLessThan(whole / 100);
      expect(wholeSheets).toBe(0);
      const stored = cluster.store.objects.get(SHEET) as StoreObject;
      for (const { state } of cluster.running()) {
        const held = state.configuration.objects.get(identifier<ObjectName>(SHEET));
        expect(held).toEqual(trimHistory(stored));
      }
    },
  );
});
