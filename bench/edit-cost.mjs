/**
 * Measures the processor time of each step of an edit of one row, for several numbers of rows in the sheet: at
 * the node that decides the edit, at a reader of the store, and at a node that receives the push. Several
 * builds can be compared; they alternate in one run. Run after `npm run build`:
 * node bench/edit-cost.mjs [directory of a build]...
 */
import { performance } from 'node:perf_hooks';
import { pathToFileURL } from 'node:url';
import { resolve } from 'node:path';
import { decode, encode } from 'cbor-x';
import { createRecord, createRow, createSheetObject } from './sample-sheet.mjs';

const ROUNDS = 31;
const SIZES = [100, 1_000, 10_000];
const HISTORY = 2_000;
const SERVICES = 200;
const ROWS_PER_ROUTE = 4;

const rowAt = (index) =>
  createRow({
    route: `route-${String(Math.floor(index / ROWS_PER_ROUTE)).padStart(5, '0')}`,
    kind: `kind-${index % ROWS_PER_ROUTE}`,
    services: [`booking-desk-${index % SERVICES}`],
  });

const recordAt = (index) =>
  createRecord(index, { rows: ['route-00000/kind-0'], digest: index, sheetVersion: index + 1 });

const standingAt = (index) => ({ row: rowAt(index), rowVersion: 1, writtenBy: 'mair' });

const createObject = (rows) =>
  createSheetObject(
    HISTORY,
    Array.from({ length: rows }, (_, index) => standingAt(index)),
    Array.from({ length: HISTORY }, (_, index) => recordAt(index)),
  );

const createEdit = (rows) => ({
  edit: 'new',
  partner: 'ensemble',
  operator: 'owen',
  reason: 'festival',
  seenVersion: HISTORY,
  writtenAt: 1,
  action: {
    type: 'change-rows',
    changes: [{ type: 'set', row: { ...rowAt(Math.floor(rows / 2)), weight: 2 }, basedOn: 1 }],
  },
});

const services = Array.from({ length: SERVICES }, (_, index) => ({
  service: `booking-desk-${index}`,
  slots: 10,
}));

const load = async (directory) => {
  const get = (file) => import(pathToFileURL(resolve(directory, file)).href);
  return {
    ...(await get('runtime/store/store-answers.js')),
    ...(await get('core/editing/decide-edit.js')),
    ...(await get('core/configuration/derive-in-force.js')),
    // Builds without this module push sheets with their whole history.
    ...(await get('table/spread-history.js').catch(() => ({}))),
    ...(await get('core/configuration/push-deltas.js')),
    ...(await get('table/sheet-delta.js')),
    ...(await get('protocol/codec/store-object-shape.js')),
  };
};

const median = (values) => [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];

/** Executes all steps of one edit; `time` records the duration of each. */
const runOnce = (build, rows, time) => {
  const standing = createObject(rows);
  const text = JSON.stringify(standing);
  // The reader and the node that receives the push hold the sheet as they have read it before.
  const spread = build.trimHistory ?? ((object) => object);
  const heldByReader = spread(JSON.parse(text));
  const heldByNode = spread(JSON.parse(text));
  const inForceAtReader = build.deriveInForce([heldByReader]);
  const inForceAtNode = build.deriveInForce([heldByNode]);

  const read = time('decide: read the answer', () => build.readObject(text).unsafeCoerce());
  const context = { object: read, services, partners: ['ensemble'] };
  const decision = time('decide: decide', () => build.decideEdit(createEdit(rows), context));
  const { content } = decision;
  time('decide: write the request', () => JSON.stringify({ expectedVersion: HISTORY, content }));

  const written = { ...standing, version: HISTORY + 1, revision: HISTORY + 1, content };
  const changes = { after: HISTORY, through: HISTORY + 1, objects: [written] };
  const line = JSON.stringify(changes);
  const [object] = time('reader: read the line', () =>
    build.readWatchLine(line).unsafeCoerce().objects.map(spread),
  );
  const delta = time('reader: compute the delta', () => build.diffSheet(heldByReader, object));
  const shared = time('reader: share rows', () =>
    build.shareUnchangedRows === undefined ? object : build.applySheetDelta(heldByReader, delta),
  );
  time('reader: update in force', () => build.updateInForce(inForceAtReader, heldByReader, shared));
  const push = time('reader: encode the push', () => encode({ deltas: [delta] }));

  const received = time('node: read the push', () => {
    const [pushed] = decode(push).deltas;
    if (!build.isSheetDelta(pushed)) {
      throw new Error('the push is malformed');
    }
    return pushed;
  });
  const expanded = time('node: apply the delta', () => build.applySheetDelta(heldByNode, received));
  time('node: update in force', () => build.updateInForce(inForceAtNode, heldByNode, expanded));
  return { push: push.length, line: line.length };
};

const measure = (builds, rows) => {
  const times = builds.map(() => new Map());
  let bytes;
  for (let round = 0; round < ROUNDS; round += 1) {
    builds.forEach((build, index) => {
      bytes = runOnce(build, rows, (name, run) => {
        const began = performance.now();
        const result = run();
        const took = performance.now() - began;
        times[index].set(name, [...(times[index].get(name) ?? []), took]);
        return result;
      });
    });
  }
  return { times, bytes };
};

const directories = process.argv.slice(2);
const names = directories.length > 0 ? directories : ['dist'];
const builds = await Promise.all(names.map(load));
for (const rows of SIZES) {
  const { times, bytes } = measure(builds, rows);
  console.log(
    `\n${rows} rows, ${HISTORY} edits: push ${bytes.push} bytes, watch line ${bytes.line} bytes`,
  );
  console.log(`  median of ${ROUNDS} rounds in ms: ${names.join(', ')}`);
  const sums = times.map(() => new Map());
  for (const name of times[0].keys()) {
    const medians = times.map((each) => median(each.get(name)));
    const [place] = name.split(':');
    medians.forEach((value, index) =>
      sums[index].set(place, (sums[index].get(place) ?? 0) + value),
    );
    console.log(`  ${name.padEnd(26)} ${medians.map((value) => value.toFixed(3)).join('  ')}`);
  }
  for (const place of sums[0].keys()) {
    const values = sums.map((each) => each.get(place).toFixed(2)).join('  ');
    console.log(`  sum of ${place.padEnd(19)} ${values}`);
  }
}
