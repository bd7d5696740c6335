import { describe, expect, it } from 'vitest';
import { step } from '../../src/core/reducer.js';
import type { EditOutcome } from '../../src/table/edit.js';
import {
  EditingWorld,
  RELIABLE_LINK,
  sheetName,
  STORE_TIMEOUT_MS,
  type StoreLink,
} from './editing-world.js';
import { editRows, setRow } from './edits.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

const createWorld = (seed: number): EditingWorld => new EditingWorld({ nodes: 3, seed, step });

const historyOf = (world: EditingWorld): string[] => {
  const content = world.store.read(sheetName('ensemble'))?.content;
  return content?.type === 'sheet' ? content.sheet.history.map(({ edit }) => edit) : [];
};

/** Sends an edit and runs until its outcome; returns it with the duration in milliseconds. */
const edit = (world: EditingWorld, wanted: ReturnType<typeof editRows>): [EditOutcome, number] => {
  const startedAt = world.now;
  const outcome = world.edit(0, wanted);
  return [outcome, world.now - startedAt];
};

/** Runs until the write has been sent over `link`; the read must have been sent already. */
const runUntilWriteSent = (world: EditingWorld, link: StoreLink): void => {
  world.link = link;
  world.run(() => world.storeEffects.includes('write-object'));
  world.link = RELIABLE_LINK;
};

describe('a write whose answer is lost', () => {
  it.each(SEEDS)(
    'is resolved from the configuration in force before it times out (seed %i)',
    (seed) => {
      const world = createWorld(seed);
      world.store.setFaults({ loseAnswerShare: 1 });
      const [outcome, durationMs] = edit(world, editRows([setRow({})]));
      expect(outcome).toMatchObject({ type: 'accepted', version: 1, revision: 1 });
      expect(durationMs).toBeLessThan(100);
      expect(historyOf(world)).toEqual(['e-1']);
    },
  );

  it.each(SEEDS)(
    'is read back before it times out if no changes arrive from the watch (seed %i)',
    (seed) => {
      const world = createWorld(seed);
      world.watching = false;
      world.store.setFaults({ loseAnswerShare: 1 });
      const [outcome, durationMs] = edit(world, editRows([setRow({})]));
      expect(outcome).toMatchObject({ type: 'accepted', version: 1, revision: 1 });
      expect(durationMs).toBeLessThan(STORE_TIMEOUT_MS);
      expect(historyOf(world)).toEqual(['e-1']);
    },
  );

  it('is retried without waiting for the timeout if it was lost and another edit was written first', () => {
    const world = createWorld(1);
    world.watching = false;
    const outcomes: EditOutcome[] = [];
    world.send(0, editRows([setRow({})], { edit: 'e-1' }), (each) => outcomes.push(each));
    runUntilWriteSent(world, { ...RELIABLE_LINK, requestLost: 1 });
    const other = editRows([setRow({ kind: 'swap' })], { edit: 'e-2' });
    world.send(1, other, (each) => outcomes.push(each));
    world.run(() => outcomes.length === 2);
    expect(outcomes.map(({ type }) => type)).toEqual(['accepted', 'accepted']);
    expect(historyOf(world)).toEqual(['e-2', 'e-1']);
    expect(world.now).toBeLessThan(STORE_TIMEOUT_MS);
  });

  it('is not abandoned while it may still take effect', () => {
    const world = createWorld(1);
    world.watching = false;
    const outcomes: EditOutcome[] = [];
    world.send(0, editRows([setRow({})]), (each) => outcomes.push(each));
    runUntilWriteSent(world, { ...RELIABLE_LINK, late: 1 });
    world.run(() => outcomes.length > 0);
    expect(outcomes).toMatchObject([{ type: 'accepted', version: 1 }]);
    world.run(() => false);
    expect(historyOf(world)).toEqual(['e-1']);
  });
});
