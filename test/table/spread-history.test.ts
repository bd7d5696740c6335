import { describe, expect, it } from 'vitest';
import type { StoreContent, StoreObject } from '../../src/catalog/store-object.js';
import { identifier } from '../../src/core/identifiers.js';
import { step } from '../../src/core/reducer.js';
import { type EditRecord, type Sheet, SPREAD_HISTORY_LIMIT } from '../../src/table/sheet.js';
import { completeHistory, historyOf, trimHistory } from '../../src/table/spread-history.js';
import { EditingWorld, sheetName } from '../editing/editing-world.js';
import { editRows, setRow } from '../editing/edits.js';
import { VirtualCluster } from '../support/virtual-cluster.js';

const MORE = 44;
const ALL = SPREAD_HISTORY_LIMIT + MORE;

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

describe('the part of a history that nodes hold', () => {
  it('is its newest edits, and the very object where it has no more', () => {
    const whole = objectWith(records(1, ALL), 1);
    expect(editsOf(trimHistory(whole).content)).toEqual(namesOf(records(MORE + 1, ALL)));
    const short = objectWith(records(1, SPREAD_HISTORY_LIMIT), 1);
    expect(trimHistory(short)).toBe(short);
  });

  it('is completed by what the store shows, each edit once', () => {
    const held = sheetWith(records(MORE + 1, ALL));
    const stored = sheetWith(records(1, ALL - 5));
    expect(editsOf(completeHistory(held, stored))).toEqual(namesOf(records(1, ALL)));
  });

  it.each([
    ['there is a gap', records(MORE + 1, ALL), records(1, MORE)],
    ['nothing is stored', records(MORE + 1, ALL), []],
    ['the whole is held', records(1, 9), records(5, 8)],
  ])('stays as it is where %s', (_case, held, stored) => {
    const content = sheetWith(held);
    expect(completeHistory(content, sheetWith(stored))).toBe(content);
  });
});

describe('a tier over a sheet with a long history', () => {
  const startTier = (): VirtualCluster => {
    const cluster = new VirtualCluster({ seed: 1 });
    for (let version = 1; version <= ALL; version += 1) {
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

  it('holds the newest edits at each node, also after a change and at one that joins', () => {
    const cluster = startTier();
    cluster.store.write('sheet/ensemble', sheetWith(records(1, ALL + 1)));
    cluster.run(2_000);
    const newcomer = { id: 'newcomer', zone: 'bole', port: 9_100, seeds: [9_000] };
    cluster.start(newcomer);
    cluster.run(5_000);
    const expected = namesOf(records(MORE + 2, ALL + 1));
    expect(heldBy(cluster)).toEqual(Array.from({ length: 7 }, () => expected));
  });

  it('gives back all edits to a store that lost some, each once', () => {
    const cluster = startTier();
    const copy = [...cluster.store.objects.values()];
    const { revision } = cluster.store;
    cluster.store.write('sheet/ensemble', sheetWith(records(1, ALL + 3)));
    cluster.run(2_000);
    cluster.store.restore(copy, revision);
    cluster.run(30_000);
    const stored = cluster.store.objects.get('sheet/ensemble');
    expect(stored?.revision).toBeGreaterThan(revision + 1);
    expect(editsOf(stored?.content)).toEqual(namesOf(records(1, ALL + 3)));
  });
});

describe('an edit of a sheet whose older history was lost', () => {
  it('expires where it may have been applied before what is recorded', () => {
    const cut = objectWith(records(MORE + 1, ALL), 1);
    const world = new EditingWorld({ nodes: 1, seed: 1, step, objects: [cut] });
    const old = editRows([setRow({})], { edit: 'old', seenVersion: MORE - 1 });
    expect(world.edit(0, old)).toMatchObject({ type: 'expired' });
    const later = editRows([setRow({ kind: 'swap' })], { edit: 'later', seenVersion: MORE });
    expect(world.edit(0, later)).toMatchObject({ type: 'accepted' });
  });

  it('keeps more in the store than nodes hold', () => {
    const whole = objectWith(records(1, ALL), 1);
    const world = new EditingWorld({ nodes: 1, seed: 1, step, objects: [whole] });
    const edit = editRows([setRow({ kind: 'swap' })], { edit: 'new', seenVersion: ALL });
    expect(world.edit(0, edit)).toMatchObject({ type: 'accepted' });
    expect(editsOf(world.store.read(sheetName('ensemble'))?.content)).toHaveLength(ALL + 1);
  });
});
