import { describe, expect, it } from 'vitest';
import type { StoreContent } from '../../src/catalog/store-object.js';
import { identifier, type PartnerId } from '../../src/core/identifiers.js';
import { StoreModel } from '../../src/standins/store-model/store-model.js';

const PARTNER = identifier<PartnerId>('ensemble');
const content = (edits: number): StoreContent => ({
  type: 'sheet',
  sheet: {
    partner: PARTNER,
    rows: [],
    history: Array.from({ length: edits }, (_, index) => ({
      edit: identifier(`edit-${index}`),
      operator: 'operator',
      writtenAt: 0,
      reason: '',
      rows: [],
      sheetVersion: index,
      digest: 0,
    })),
  },
});

const createModel = (changeLogLimit = 100): StoreModel =>
  new StoreModel({ objects: [], seed: 1, changeLogLimit });

const machine = (id: string) =>
  ({ id, host: '127.0.0.1', port: 1, zone: 'bole', state: 'live' }) as const;

describe('store model', () => {
  it('writes only if the expected version is the current one', () => {
    const model = createModel();
    expect(model.write('a', 1, content(0))).toEqual({ type: 'refused', version: 0 });
    expect(model.write('a', 0, content(0))).toMatchObject({ version: 1, revision: 1 });
    expect(model.write('a', 0, content(1))).toEqual({ type: 'refused', version: 1 });
    expect(model.write('a', 1, content(1))).toMatchObject({ version: 2, revision: 2 });
    expect(model.read('a')).toMatchObject({ version: 2, content: content(1) });
    expect(model.read('b')).toBeUndefined();
  });

  it('returns the last state of each changed object', () => {
    const model = createModel();
    model.write('a', 0, content(0));
    model.write('b', 0, content(0));
    model.write('a', 1, content(1));
    const changes = model.changesAfter(1);
    expect(changes).toMatchObject({ type: 'changes', after: 1, through: 3 });
    expect(changes.type === 'changes' && changes.objects.map(({ revision }) => revision)).toEqual([
      2, 3,
    ]);
    expect(model.readAll(2).map(({ name }) => name)).toEqual(['a']);
  });

  it('reports changes that are no longer kept as gone and still returns every object', () => {
    const model = createModel(10);
    model.write('kept', 0, content(0));
    for (let version = 0; version < 20; version += 1) {
      model.write('a', version, content(0));
    }
    expect(model.changesAfter(1)).toEqual({ type: 'gone' });
    expect(model.changesAfter(20)).toMatchObject({ type: 'changes', through: 21 });
    expect(model.readAll(0).map(({ name }) => name)).toEqual(['kept', 'a']);
  });

  it('marks the answers of accepted writes as lost according to its faults', () => {
    const model = createModel();
    model.setFaults({ loseAnswerShare: 1 });
    expect(model.write('a', 0, content(0))).toMatchObject({ type: 'written', answerLost: true });
    expect(model.read('a')?.version).toBe(1);
  });

  it('rolls back to an older state', () => {
    const model = createModel();
    model.write('a', 0, content(0));
    model.write('a', 1, content(1));
    model.write('b', 0, content(0));
    model.setFaults({ rollBackTo: 1 });
    expect(model.revision).toBe(1);
    expect(model.read('a')?.content).toEqual(content(0));
    expect(model.read('b')).toBeUndefined();
    expect(model.changesAfter(3)).toEqual({
      type: 'changes',
      after: 3,
      through: 1,
      objects: [],
    });
  });

  it('delays the appearance and removal of machines in the machine list', () => {
    const model = createModel();
    model.setFaults({ machineListLagMs: 100 });
    model.changeMachine(0, machine('m1'));
    expect(model.machines(99)).toEqual([]);
    expect(model.machines(100)).toEqual([machine('m1')]);
    model.changeMachine(200, { id: 'm1', state: 'gone' });
    expect(model.machines(299)).toHaveLength(1);
    expect(model.machines(300)).toEqual([]);
  });
});
