/**
 * Two operators of each partner edit the same few rows concurrently through different nodes, while
 * the store loses answers and nodes are replaced and paused. An oracle then replays the histories
 * and lists every violated guarantee.
 */
import { identifier } from '../../src/core/identifiers.js';
import type { step } from '../../src/core/reducer.js';
import type { EditOutcome, EditRequest, RowChange } from '../../src/table/edit.js';
import { rowKey } from '../../src/table/row-key.js';
import type { Sheet, SheetRow } from '../../src/table/sheet.js';
import { createRow } from '../table/rows.js';
import { EditingWorld, sheetName } from './editing-world.js';
import { editRows } from './edits.js';

export const PARTNERS = ['ensemble', 'tawe'] as const;
const OPERATORS_PER_PARTNER = 2;
const KINDS = ['page', 'answer', 'swap', 'book'] as const;
const NODES = 4;
const MAX_THINK_MS = 60;
const FOREIGN_SHARE = 0.03;
const REMOVE_SHARE = 0.15;
const DUPLICATE_SHARE = 0.1;
/** Outage of the store, in milliseconds; longer than the deadline of an edit. */
const OUTAGE = { from: 20_000, until: 45_000 } as const;

const WATCH_OUTAGE_MS = 1_000;
const FAULT_INTERVAL_MS = 3_000;
const FAULTS_UNTIL_MS = 90_000;
const MAX_PAUSE_MS = 4_000;

/** One edit of the race with all its outcomes. */
interface RacedEdit {
  readonly edit: EditRequest;
  readonly outcomes: EditOutcome[];
}

/** The result of a race. */
export interface RaceResult {
  readonly edits: readonly RacedEdit[];
  readonly world: EditingWorld;
  /** Violated guarantees, each as a sentence. */
  readonly violations: readonly string[];
  readonly accepted: number;
  readonly conflicting: number;
  readonly refused: number;
  /** Edits that had to be sent again because their outcome was unknown. */
  readonly resent: number;
}

const sheetOf = (world: EditingWorld, partner: string): Sheet => {
  const content = world.store.read(sheetName(partner))?.content;
  return content?.type === 'sheet'
    ? content.sheet
    : { partner: identifier(partner), rows: [], history: [] };
};

/** Returns the sheet that an operator sees at a node, which may lag behind the store. */
const readSheetAt = (world: EditingWorld, node: number, partner: string) => {
  const held = world.nodes[node]?.core.configuration.objects.get(sheetName(partner));
  const rows = held?.content.type === 'sheet' ? held.content.sheet.rows : [];
  return { version: held?.version ?? 0, rows };
};

const generateChange = (
  world: EditingWorld,
  rows: readonly SheetRow[],
  partner: string,
): RowChange => {
  const { random } = world;
  const kind = KINDS[random.nextBelow(KINDS.length)] ?? 'page';
  const current = rows.find((each) => each.row.kind === kind);
  const basedOn = current?.rowVersion ?? 0;
  if (current !== undefined && random.next() < REMOVE_SHARE) {
    return { type: 'remove', route: current.row.route, kind: current.row.kind, basedOn };
  }
  const other = partner === PARTNERS[0] ? PARTNERS[1] : PARTNERS[0];
  const owner = random.next() < FOREIGN_SHARE ? other : partner;
  const weight = 1 + random.nextBelow(900);
  return { type: 'set', row: createRow({ partner: owner, kind, weight }), basedOn };
};

/** Sends an edit repeatedly, each time through another node, until its outcome is final. */
const sendUntilFinal = (
  world: EditingWorld,
  raced: RacedEdit,
  node: number,
  done: () => void,
): void => {
  world.send(node, raced.edit, (outcome) => {
    raced.outcomes.push(outcome);
    if (outcome.type === 'unknown') {
      const wait = 1 + world.random.nextBelow(MAX_THINK_MS);
      world.after(wait, () => sendUntilFinal(world, raced, (node + 1) % NODES, done));
    } else {
      done();
    }
  });
};

const runOperator = (
  world: EditingWorld,
  partner: string,
  operator: string,
  count: number,
  edits: RacedEdit[],
): void => {
  const { random } = world;
  const next = (index: number): void => {
    if (index === count) {
      return;
    }
    const node = random.nextBelow(NODES);
    const seen = readSheetAt(world, node, partner);
    const change = generateChange(world, seen.rows, partner);
    const edit = editRows([change], {
      edit: `${operator}-${index}`,
      partner,
      operator,
      seenVersion: seen.version,
    });
    const raced: RacedEdit = { edit, outcomes: [] };
    edits.push(raced);
    if (random.next() < DUPLICATE_SHARE) {
      sendUntilFinal(world, raced, (node + 1) % NODES, () => undefined);
    }
    sendUntilFinal(world, raced, node, () =>
      world.after(random.nextBelow(MAX_THINK_MS), () => next(index + 1)),
    );
  };
  world.after(random.nextBelow(MAX_THINK_MS), () => next(0));
};

/** Replaces and pauses random nodes, some of them with edits in progress. */
const injectNodeFaults = (world: EditingWorld): void => {
  for (let at = FAULT_INTERVAL_MS; at < FAULTS_UNTIL_MS; at += FAULT_INTERVAL_MS) {
    world.after(at, () => world.restart(world.random.nextBelow(NODES)));
    const pause = 200 + world.random.nextBelow(MAX_PAUSE_MS);
    world.after(at / 2, () => world.pause(world.random.nextBelow(NODES), pause));
  }
};

/** Stops all watches for half of the time, so that lost answers must be read back. */
const injectWatchOutages = (world: EditingWorld): void => {
  for (let at = WATCH_OUTAGE_MS; at < FAULTS_UNTIL_MS; at += 2 * WATCH_OUTAGE_MS) {
    world.after(at, () => (world.watching = false));
    world.after(at + WATCH_OUTAGE_MS, () => (world.watching = true));
  }
};

const checkOutcome = (raced: RacedEdit, times: number): string[] => {
  const { edit, outcomes } = raced;
  const final = outcomes.filter((outcome) => outcome.type !== 'unknown');
  const types = new Set(final.map((outcome) => outcome.type));
  const violations: string[] = [];
  if (types.size !== 1) {
    violations.push(`${edit.edit} has outcomes ${[...types].join(' and ') || 'of no kind'}`);
  }
  const expected = types.has('accepted') ? 1 : 0;
  if (times !== expected) {
    violations.push(`${edit.edit} is ${[...types].join()} and stands ${times} times`);
  }
  for (const outcome of final) {
    const reasons =
      (outcome.type === 'refused' && outcome.findings.length) ||
      (outcome.type === 'conflict' && outcome.conflicts.length) ||
      outcome.type === 'accepted';
    if (!reasons) {
      violations.push(`${edit.edit} is ${outcome.type} without a reason`);
    }
  }
  return violations;
};

/** Replays a sheet's history independently and compares the result with the sheet. */
const checkSheet = (sheet: Sheet, edits: ReadonlyMap<string, RacedEdit>): string[] => {
  const violations: string[] = [];
  const rows = new Map<string, SheetRow>();
  for (const record of sheet.history) {
    const edit = edits.get(record.edit)?.edit;
    if (edit === undefined || edit.partner !== sheet.partner) {
      violations.push(`${record.edit} stands in the sheet of ${sheet.partner}`);
      continue;
    }
    const changes = edit.action.type === 'change-rows' ? edit.action.changes : [];
    for (const change of changes) {
      const key = rowKey(change.type === 'set' ? change.row : change);
      if ((rows.get(key)?.rowVersion ?? 0) !== change.basedOn) {
        violations.push(`${record.edit} overrode a change of ${key} that it had not seen`);
      }
      rows.delete(key);
      if (change.type === 'set') {
        const { sheetVersion: rowVersion, operator: writtenBy } = record;
        rows.set(key, { row: change.row, rowVersion, writtenBy });
      }
    }
  }
  const actual = new Map(sheet.rows.map((each) => [rowKey(each.row), each]));
  const sorted = (all: ReadonlyMap<string, SheetRow>): string =>
    JSON.stringify([...all].sort(([left], [right]) => (left < right ? -1 : 1)));
  if (sorted(actual) !== sorted(rows)) {
    violations.push(`the rows of ${sheet.partner} are not what its history made`);
  }
  if (sheet.rows.some(({ row }) => row.partner !== sheet.partner)) {
    violations.push(`${sheet.partner} has another's row`);
  }
  return violations;
};

/** Runs a race of `count` edits. */
export const runRace = (run: typeof step, seed: number, count: number): RaceResult => {
  const world = new EditingWorld({ nodes: NODES, seed, step: run });
  world.link = { requestLost: 0.03, late: 0.02, answerLost: 0.1 };
  const edits: RacedEdit[] = [];
  const each = count / (PARTNERS.length * OPERATORS_PER_PARTNER);
  for (const partner of PARTNERS) {
    for (let index = 0; index < OPERATORS_PER_PARTNER; index += 1) {
      runOperator(world, partner, `${partner}-operator-${index}`, each, edits);
    }
  }
  injectNodeFaults(world);
  injectWatchOutages(world);
  world.after(OUTAGE.from, () => world.store.setFaults({ down: true }));
  world.after(OUTAGE.until, () => world.store.setFaults({ down: false }));
  world.run(() => false);
  const sheets = PARTNERS.map((partner) => sheetOf(world, partner));
  const times = new Map<string, number>();
  for (const record of sheets.flatMap((sheet) => sheet.history)) {
    times.set(record.edit, (times.get(record.edit) ?? 0) + 1);
  }
  const byId = new Map(edits.map((raced) => [raced.edit.edit as string, raced]));
  const violations = [
    ...edits.flatMap((raced) => checkOutcome(raced, times.get(raced.edit.edit) ?? 0)),
    ...sheets.flatMap((sheet) => checkSheet(sheet, byId)),
  ];
  const counted = (type: EditOutcome['type']): number =>
    edits.filter(({ outcomes }) => outcomes.some((outcome) => outcome.type === type)).length;
  return {
    edits,
    world,
    violations,
    accepted: counted('accepted'),
    conflicting: counted('conflict'),
    refused: counted('refused'),
    resent: counted('unknown'),
  };
};
