import { describe, expect, it } from 'vitest';
import { identifier } from '../../src/core/identifiers.js';
import type { EditOutcome } from '../../src/table/edit.js';
import { editRows, setRow } from '../editing/edits.js';
import { sheetOf } from '../support/store-contents.js';
import { VirtualCluster } from '../support/virtual-cluster.js';

const ZONES = ['bole', 'arada', 'kirkos', 'yeka'];
const OUTAGE_MS = 120_000;

describe('an edit accepted as soon as the store has recovered', () => {
  it.each([1, 2, 3, 4, 5])('is in force on 12 nodes within 1 s (seed %i)', (seed) => {
    const outcomes: EditOutcome[] = [];
    const cluster = new VirtualCluster({
      seed,
      onEffect: (_node, effect) => {
        if (effect.type === 'answer-operator') {
          outcomes.push(effect.outcome);
        }
      },
    });
    cluster.store.write('sheet/ensemble', sheetOf('ensemble'));
    cluster.startMany(12, ZONES);
    cluster.runUntil(
      () =>
        cluster.isConverged() && cluster.running().every(({ state }) => state.phase === 'serving'),
      10_000,
    );
    cluster.run(3_000);
    cluster.store.down = true;
    cluster.run(OUTAGE_MS);
    cluster.store.down = false;
    const returned = cluster.now;
    const edit = editRows([setRow({})], { seenVersion: 1 });
    const call = identifier<never>('call-1');
    cluster.handle(cluster.node('node-7'), { type: 'edit-requested', call, edit });
    cluster.runUntil(() => outcomes.length > 0, 1_000);
    const [outcome] = outcomes;
    const revision = outcome?.type === 'accepted' ? outcome.revision : Number.POSITIVE_INFINITY;
    const durationMs = cluster.runUntil(
      () => cluster.running().every(({ state }) => state.configuration.revision >= revision),
      40_000,
    );
    expect(durationMs).toBeLessThanOrEqual(1_000);
    // Each of the two readers of a zone retries once; hints cause no further requests.
    const watches = cluster.storeRequests.filter(
      ({ at, type }) => at >= returned && at <= returned + 1_000 && type === 'watch-store',
    );
    expect(watches.length).toBeLessThanOrEqual(2 * ZONES.length);
  });
});
