import { describe, expect, it } from 'vitest';
import {
  EDIT_DEADLINE_MS,
  EDITS_IN_PROGRESS_LIMIT,
  MIN_LEGS_FOR_MEAN,
} from '../../src/core/editing/bounds.js';
import { identifier } from '../../src/core/identifiers.js';
import { step } from '../../src/core/reducer.js';
import { findDeployments } from '../../src/deployments/deployments.js';
import { buildInitialObjects } from '../../src/deployments/initial-objects.js';
import type { EditOutcome } from '../../src/table/edit.js';
import { HISTORY_LIMIT, type Sheet } from '../../src/table/sheet.js';
import { EditingWorld, RELIABLE_LINK, sheetName } from './editing-world.js';
import { createEdit, editRows, removeRow, setRow } from './edits.js';

const createWorld = (seed = 1): EditingWorld => new EditingWorld({ nodes: 3, seed, step });

const sheetOf = (world: EditingWorld, partner = 'ensemble'): Sheet => {
  const content = world.store.read(sheetName(partner))?.content;
  return content?.type === 'sheet'
    ? content.sheet
    : { partner: identifier(partner), rows: [], history: [] };
};

const settle = (world: EditingWorld): void => world.run(() => false);

const problems = (outcome: EditOutcome): string[] =>
  outcome.type === 'refused' ? outcome.findings.map((finding) => finding.problem) : [];

describe('an edit of rows', () => {
  it('creates the sheet and records the operator, the reason and the rows', () => {
    const world = createWorld();
    const outcome = world.edit(0, editRows([setRow({})]));
    expect(outcome).toMatchObject({ type: 'accepted', version: 1, revision: 1, findings: [] });
    expect(sheetOf(world).history).toMatchObject([
      { edit: 'e-1', operator: 'mair', reason: 'season opens', rows: ['roster/page'] },
    ]);
    expect(sheetOf(world).rows[0]).toMatchObject({ rowVersion: 1, writtenBy: 'mair' });
  });

  it('is rebased onto edits of other rows', () => {
    const world = createWorld();
    world.edit(0, editRows([setRow({})]));
    const stale = editRows([setRow({ kind: 'swap' })], { edit: 'e-2', seenVersion: 0 });
    expect(world.edit(1, stale)).toMatchObject({ type: 'accepted', version: 2 });
    expect(sheetOf(world).rows.map(({ row }) => row.kind)).toEqual(['page', 'swap']);
  });

  it('conflicts on the same row, and reports both values and their authors', () => {
    const world = createWorld();
    world.edit(0, editRows([setRow({ weight: 2 })], { operator: 'mair' }));
    const wanted = setRow({ weight: 3 });
    const outcome = world.edit(1, editRows([wanted], { edit: 'e-2', operator: 'owen' }));
    expect(outcome).toMatchObject({
      type: 'conflict',
      conflicts: [
        {
          row: 'roster/page',
          current: { row: { weight: 2 }, rowVersion: 1, writtenBy: 'mair' },
          wanted,
          wantedBy: 'owen',
        },
      ],
    });
    expect(sheetOf(world).history).toHaveLength(1);
  });

  it('conflicts with a removal, and is refused if it removes a row that never existed', () => {
    const world = createWorld();
    world.edit(0, editRows([setRow({})]));
    world.edit(0, editRows([removeRow('page', 1)], { edit: 'e-2', seenVersion: 1 }));
    const late = world.edit(0, editRows([setRow({ weight: 3 }, 1)], { edit: 'e-3' }));
    expect(late).toMatchObject({ type: 'conflict', conflicts: [{ row: 'roster/page' }] });
    const absent = world.edit(0, editRows([removeRow('swap', 0)], { edit: 'e-4' }));
    expect(problems(absent)).toEqual(['cannot be removed: there is no such row']);
  });

  it('conflicts if the row it creates has been created and removed in the meantime', () => {
    const world = createWorld();
    world.edit(0, editRows([setRow({})]));
    world.edit(0, editRows([removeRow('page', 1)], { edit: 'e-2', seenVersion: 1 }));
    const late = editRows([setRow({ weight: 3 })], { edit: 'e-3', seenVersion: 0 });
    expect(world.edit(0, late).type).toBe('conflict');
    const fresh = editRows([setRow({ weight: 3 })], { edit: 'e-4', seenVersion: 2 });
    expect(world.edit(0, fresh).type).toBe('accepted');
  });

  it('is refused if it contains rows of another partner, and writes nothing', () => {
    const world = createWorld();
    const foreign = editRows([setRow({ partner: 'tawe' })]);
    expect(world.edit(0, foreign)).toMatchObject({
      type: 'refused',
      findings: [{ place: 'sheet/ensemble row roster/page column partner', allowed: 'ensemble' }],
    });
    expect(world.store.revision).toBe(0);
  });

  it('is refused as a whole if a row has errors, and accepted with warnings for questionable values', () => {
    const world = createWorld();
    const mixed = editRows([setRow({}), setRow({ kind: 'swap', weight: -1 })]);
    expect(world.edit(0, mixed)).toMatchObject({
      type: 'refused',
      findings: [{ place: 'sheet/ensemble row roster/swap column weight' }],
    });
    const doubtful = editRows([setRow({ coverage: 0 })], { edit: 'e-2' });
    expect(world.edit(0, doubtful)).toMatchObject({
      type: 'accepted',
      findings: [{ severity: 'warning', place: 'sheet/ensemble row roster/page column coverage' }],
    });
  });

  it('is accepted with warnings based on the services and legs that the node knows', () => {
    const address = () => ({ host: '127.0.0.1', port: 9 });
    const objects = buildInitialObjects(findDeployments('ensemble'), address);
    const world = new EditingWorld({ nodes: 1, seed: 1, step, objects });
    const row = { route: 'new', concurrentLimit: 3, deadlineMs: 30 };
    const edit = (id: string) => editRows([setRow({ ...row, kind: id })], { edit: id });
    const columns = (outcome: EditOutcome): string[] =>
      outcome.type === 'accepted'
        ? outcome.findings.map(({ place }) => place.replace(/.* column /, ''))
        : [outcome.type];
    // Each booking-desk has 10 slots and 4 shards, enough for 2 concurrent queries to all shards.
    expect(columns(world.edit(0, edit('a')))).toEqual(['concurrentLimit']);
    const services = world.nodes[0]?.core.query.observations.services;
    services?.set('ensemble/booking-desk-1', {
      latencyMs: 31,
      unqueuedMs: 31,
      samples: MIN_LEGS_FOR_MEAN,
    });
    expect(columns(world.edit(0, edit('b')))).toEqual(['concurrentLimit', 'deadlineMs']);
    services?.set('ensemble/booking-desk-1', {
      latencyMs: 31,
      unqueuedMs: 31,
      samples: MIN_LEGS_FOR_MEAN - 1,
    });
    expect(columns(world.edit(0, edit('c')))).toEqual(['concurrentLimit']);
  });

  it('is refused if it changes a row twice', () => {
    const outcome = createWorld().edit(0, editRows([setRow({}), setRow({ weight: 2 })]));
    expect(problems(outcome)).toEqual(['is changed twice by one edit']);
  });
});

describe('an edit delivered twice', () => {
  it('is applied once and has the same outcome at any time through any node', () => {
    const world = createWorld();
    const outcomes: EditOutcome[] = [];
    const edit = editRows([setRow({})]);
    [0, 0, 1, 2].forEach((node) => world.send(node, edit, (each) => outcomes.push(each)));
    settle(world);
    outcomes.push(world.edit(2, edit));
    const accepted = { type: 'accepted', edit: 'e-1', version: 1, revision: 1, findings: [] };
    expect(outcomes).toEqual([accepted, accepted, accepted, accepted, accepted]);
    expect(sheetOf(world).history).toHaveLength(1);
  });

  it('is refused if another edit has the same id', () => {
    const world = createWorld();
    world.edit(0, editRows([setRow({})]));
    const other = editRows([setRow({ kind: 'swap' })]);
    expect(problems(world.edit(1, other))).toEqual(['its id belongs to another edit']);
    world.send(0, editRows([setRow({ kind: 'a' })], { edit: 'e-2' }), () => undefined);
    const second = world.edit(0, editRows([setRow({ kind: 'b' })], { edit: 'e-2' }));
    expect(problems(second)).toEqual(['its id belongs to another edit']);
  });

  it('expires once the history does not reach back to the version it saw', () => {
    const world = createWorld();
    world.edit(0, editRows([setRow({})]));
    world.edit(0, editRows([removeRow('page', 1)], { edit: 'e-2', seenVersion: 1 }));
    const { history, ...sheet } = sheetOf(world);
    const last = history.at(-1);
    const filled = Array.from({ length: HISTORY_LIMIT }, (_, index) => ({
      ...last,
      edit: identifier(`x-${index}`),
      sheetVersion: 3 + index,
    })) as Sheet['history'];
    const version = world.store.read(sheetName('ensemble'))?.version ?? 0;
    world.store.write(sheetName('ensemble'), version, {
      type: 'sheet',
      sheet: { ...sheet, history: filled },
    });
    // Without this rule the second delivery would create the removed row again.
    const fresh = new EditingWorld({
      nodes: 1,
      seed: 2,
      step,
      objects: world.store.readAll(0),
    });
    expect(fresh.edit(0, editRows([setRow({})]))).toMatchObject({ type: 'expired' });
    expect(sheetOf(fresh).rows).toEqual([]);
  });
});

describe('a failing or older store', () => {
  it('is retried until it answers, and lost answers are resolved by reading back', () => {
    const world = createWorld();
    world.store.setFaults({ loseAnswerShare: 1 });
    expect(world.edit(0, editRows([setRow({})]))).toMatchObject({ type: 'accepted', version: 1 });
    expect(world.store.revision).toBe(1);
    expect(sheetOf(world).history).toHaveLength(1);
  });

  it('leaves the outcome unknown after the deadline, and a second delivery resolves it', () => {
    const world = createWorld();
    world.store.setFaults({ down: true });
    const edit = editRows([setRow({})]);
    const outcome = world.edit(0, edit);
    expect(outcome).toMatchObject({ type: 'unknown', problem: 'the store failed: timed out' });
    expect(world.now).toBe(EDIT_DEADLINE_MS);
    world.store.setFaults({ down: false });
    expect(world.edit(1, edit)).toMatchObject({ type: 'accepted', version: 1 });
  });

  it('is retried with growing, jittered delays', () => {
    const world = createWorld();
    world.store.setFaults({ down: true });
    world.edit(0, editRows([setRow({})]));
    const retries = world.nodes[0]?.core.counters.edit_retries ?? 0;
    expect(retries).toBeGreaterThan(4);
    expect(retries).toBeLessThan(20);
  });

  it('may execute a write late without applying the edit twice', () => {
    const world = createWorld(3);
    world.link = { ...RELIABLE_LINK, late: 1 };
    const outcomes: EditOutcome[] = [];
    world.send(0, editRows([setRow({})]), (each) => outcomes.push(each));
    world.run(() => world.now > 1_500);
    world.link = RELIABLE_LINK;
    settle(world);
    expect(outcomes).toMatchObject([{ type: 'accepted', version: 1 }]);
    expect(sheetOf(world).history).toHaveLength(1);
  });

  it('is logged and not overwritten if it is older than the configuration in force', () => {
    const world = createWorld();
    world.edit(0, editRows([setRow({})]));
    world.edit(0, editRows([setRow({ kind: 'swap' })], { edit: 'e-2', seenVersion: 1 }));
    settle(world);
    world.store.setFaults({ rollBackTo: 1 });
    const outcome = world.edit(0, editRows([setRow({ kind: 'answer' })], { edit: 'e-3' }));
    expect(problems(outcome)).toEqual([
      'the store shows version 1 of sheet/ensemble, and version 2 is in force',
    ]);
    expect(world.logs.some((line) => line.startsWith('Nothing is written over'))).toBe(true);
    expect(world.store.revision).toBe(1);
  });

  it('does not prevent a repeated edit that is in force from being accepted', () => {
    const world = createWorld();
    const edit = editRows([setRow({})]);
    world.edit(0, edit);
    settle(world);
    world.store.setFaults({ rollBackTo: 0 });
    expect(world.edit(0, edit)).toMatchObject({ type: 'accepted', version: 1 });
    expect(world.store.revision).toBe(0);
  });

  it('is detected by its history if it lost an edit and accepted others since', () => {
    const world = createWorld();
    world.edit(0, editRows([setRow({})]));
    world.edit(0, editRows([setRow({ kind: 'swap' })], { edit: 'e-2', seenVersion: 1 }));
    settle(world);
    world.store.setFaults({ rollBackTo: 1 });
    const { history, ...sheet } = sheetOf(world);
    for (const version of [1, 2, 3]) {
      const content = { type: 'sheet', sheet: { ...sheet, history } } as const;
      world.store.write(sheetName('ensemble'), version, content);
    }
    const outcome = world.edit(0, editRows([setRow({ kind: 'answer' })], { edit: 'e-3' }));
    expect(problems(outcome)).toEqual([
      "the store's sheet/ensemble lacks the edit that made version 2, which is in force",
    ]);
  });

  it('causes a refusal if its version is lower than the one the operator saw', () => {
    const outcome = createWorld().edit(0, editRows([setRow({})], { seenVersion: 4 }));
    expect(problems(outcome)).toEqual(['stands at version 0, before version 4 that the edit saw']);
  });
});

describe('a node', () => {
  it('accepts a bounded number of edits and answers the others without processing them', () => {
    const world = createWorld();
    world.store.setFaults({ down: true });
    const outcomes: EditOutcome[] = [];
    for (let index = 0; index <= EDITS_IN_PROGRESS_LIMIT; index += 1) {
      const edit = editRows([setRow({})], { edit: `e-${index}` });
      world.send(0, edit, (each) => outcomes.push(each));
    }
    expect(outcomes).toMatchObject([
      { type: 'unknown', problem: 'not tried: the node works on too many edits already' },
    ]);
    settle(world);
    expect(outcomes).toHaveLength(EDITS_IN_PROGRESS_LIMIT + 1);
    expect(world.nodes[0]?.core.editing.byRequest.size).toBe(0);
    expect(world.nodes[0]?.core.editing.queues.size).toBe(0);
  });

  it('finishes its edits before a planned stop, and accepts no new ones', () => {
    const world = createWorld();
    const outcomes: EditOutcome[] = [];
    const core = world.nodes[0]?.core;
    if (core === undefined) {
      throw new Error('node 0 does not exist');
    }
    world.send(0, editRows([setRow({})]), (each) => outcomes.push(each));
    step(core, { type: 'stop-requested', at: world.now });
    const stop = { type: 'timer-fired', key: { purpose: 'lifecycle-stop', subject: '' } } as const;
    step(core, { ...stop, at: world.now });
    expect(core.phase).toBe('stopping');
    const refused = world.edit(0, editRows([setRow({})], { edit: 'e-2' }));
    expect(refused).toMatchObject({ problem: 'not tried: the node is stopping' });
    settle(world);
    expect(outcomes).toMatchObject([{ type: 'accepted' }]);
    step(core, { ...stop, at: world.now });
    expect(core.phase).toBe('stopping');
    step(core, { ...stop, at: world.now + 50 });
    expect(core.phase).toBe('ended');
  });
});

describe('the keys of a partner', () => {
  const key = (name: string, role: 'caller' | 'operator') => ({
    name,
    role,
    sha256: 'ab'.repeat(32),
  });

  it('are replaced as a whole, based on the current version', () => {
    const world = createWorld();
    const keys = [key('mair', 'operator'), key('kiosk', 'caller')];
    const first = createEdit({ type: 'replace-keys', keys, basedOn: 0 });
    expect(world.edit(0, first)).toMatchObject({ type: 'accepted', version: 1 });
    const stale = createEdit({ type: 'replace-keys', keys, basedOn: 0 }, { edit: 'e-2' });
    expect(problems(world.edit(0, stale))).toEqual(['was changed by mair since version 0']);
  });

  it('are refused without an operator, with duplicate names or with unhashed secrets', () => {
    const keys = [key('kiosk', 'caller'), { ...key('kiosk', 'caller'), sha256: 'secret' }];
    const edit = createEdit({ type: 'replace-keys', keys, basedOn: 0 });
    expect(problems(createWorld().edit(0, edit))).toEqual([
      'stands twice',
      'has no SHA-256 in lower-case hexadecimal',
      'has no key of an operator, which would lock the partner out of its own table',
    ]);
  });
});
