import { describe, expect, it } from 'vitest';
import type { StoreContent, StoreObject } from '../../src/catalog/store-object.js';
import { identifier } from '../../src/core/identifiers.js';
import { step } from '../../src/core/reducer.js';
import { type EditRecord, type Sheet, NODE_HISTORY_LIMIT } from '../../src/table/sheet.js';
import { completeHistory, historyOf, trimHistory } from '../../src/table/spread-history.js';
import { EditingWorld, sheetName } from '../editing/editing-world.js';
import { editRows, setRow } from '../editing/edits.js';
import { VirtualCluster } from '../support/virtual-cluster.js';

const OLDER_EDITS = 44;
const EDITS = NODE_HISTORY_LIMIT + OLDER_EDITS;

const record = (version: number): EditRecord => ({
  edit: identifier(`e-${version}`),
  operator: 'mair',
  writtenAt: version,
  reason: 'season opens',
  rows: ['roster/page'],
  digest: version,
  sheetVersion: version,
});

/** The records of the versions from `first` to `last`. */
const records = (first: number, last: number): EditRecord[] =>
  Array.from({ length: last - first + 1 }, (_, index) => record(first + index));

const sheetWith = (history: readonly EditRecord[]): StoreContent => ({
  type: 'sheet',
  sheet: { partner: identifier('ensemble'), rows: [], history } satisfies Sheet,
});

const objectWith = (history: readonly EditRecord[], revision: number): StoreObject => ({
  name: sheetName('ensemble'),
  version: history.at(-1)?.sheetVersion ?? 1,
  revision,
  content: sheetWith(history),
});

const editsOf = (content: StoreContent | undefined): string[] =>
  historyOf(content).map(({ edit }) => edit);

const namesOf = (history: readonly EditRecord[]): string[] => history.map(({ edit }) => edit);

describe('the history that nodes hold', () => {
  it('is trimmed to the newest edits; a short history leaves the object as it is', () => {
    const whole = objectWith(records(1, EDITS), 1);
    expect(editsOf(trimHistory(whole).content)).toEqual(namesOf(records(OLDER_EDITS + 1, EDITS)));
    const short = objectWith(records(1, NODE_HISTORY_LIMIT), 1);
    expect(trimHistory(short)).toBe(short);
  });

  it('is completed with the older edits of the stored history, without duplicates', () => {
    const held = sheetWith(records(OLDER_EDITS + 1, EDITS));
    const stored = sheetWith(records(1, EDITS - 5));
    expect(editsOf(completeHistory(held, stored))).toEqual(namesOf(records(1, EDITS)));
  });

  it.each([
    ['there is a gap between the two', records(OLDER_EDITS + 1, EDITS), records(1, OLDER_EDITS)],
    ['nothing is stored', records(OLDER_EDITS + 1, EDITS), []],
    ['the node holds the whole history', records(1, 9), records(5, 8)],
  ])('is not completed if %s', (_case, held, stored) => {
    const content = sheetWith(held);
    expect(completeHistory(content, sheetWith(stored))).toBe(content);
  });
});

describe('nodes over a sheet with a long history', () => {
  const startTier = (): VirtualCluster => {
    const cluster = new VirtualCluster({ seed: 1 });
    for (let version = 1; version <= EDITS; version += 1) {
      cluster.store.write('sheet/ensemble', sheetWith(records(1, version)));
    }
    cluster.startMany(6, ['bole', 'arada']);
    cluster.runUntil(
      () =>
        cluster.isConverged() && cluster.running().every(({ state }) => state.phase === 'serving'),
      10_000,
    );
    return cluster;
  };

  const heldBy = (cluster: VirtualCluster): string[][] =>
    cluster
      .running()
      .map(({ state }) => editsOf(state.configuration.objects.get(sheetName('ensemble'))?.content));

  it('hold the newest edits, also after a change and at a node that joins', () => {
    const cluster = startTier();
    cluster.store.write('sheet/ensemble', sheetWith(records(1, EDITS + 1)));
    cluster.run(2_000);
    const newcomer = { id: 'newcomer', zone: 'bole', port: 9_100, seeds: [9_000] };
    cluster.start(newcomer);
    cluster.run(5_000);
    const expected = namesOf(records(OLDER_EDITS + 2, EDITS + 1));
    expect(heldBy(cluster)).toEqual(Array.from({ length: 7 }, () => expected));
  });

  it('restore the edits that the store lost, without duplicates', () => {
    const cluster = startTier();
    const copy = [...cluster.store.objects.values()];
    const { revision } = cluster.store;
    cluster.store.write('sheet/ensemble', sheetWith(records(1, EDITS + 3)));
    cluster.run(2_000);
    cluster.store.restore(copy, revision);
    cluster.run(30_000);
    const stored = cluster.store.objects.get('sheet/ensemble');
    expect(stored?.revision).toBeGreaterThan(revision + 1);
    expect(editsOf(stored?.content)).toEqual(namesOf(records(1, EDITS + 3)));
  });
});

describe('an edit of a sheet whose older history was lost', () => {
  it('expires if its base version precedes the recorded history', () => {
    const cut = objectWith(records(OLDER_EDITS + 1, EDITS), 1);
    const world = new EditingWorld({ nodes: 1, seed: 1, step, objects: [cut] });
    const old = editRows([setRow({})], { edit: 'old', seenVersion: OLDER_EDITS - 1 });
    expect(world.edit(0, old)).toMatchObject({ type: 'expired' });
    const later = editRows([setRow({ kind: 'swap' })], { edit: 'later', seenVersion: OLDER_EDITS });
    expect(world.edit(0, later)).toMatchObject({ type: 'accepted' });
  });

  it('is recorded in a stored history that is longer than what nodes hold', () => {
    const whole = objectWith(records(1, EDITS), 1);
    const world = new EditingWorld({ nodes: 1, seed: 1, step, objects: [whole] });
    const edit = editRows([setRow({ kind: 'swap' })], { edit: 'new', seenVersion: EDITS });
    expect(world.edit(0, edit)).toMatchObject({ type: 'accepted' });
    expect(editsOf(world.store.read(sheetName('ensemble'))?.content)).toHaveLength(EDITS + 1);
  });
});
