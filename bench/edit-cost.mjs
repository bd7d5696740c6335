/**
 * Processor time of one edit of one row, step by step, by the number of rows of the sheet: at the
 * node that decides it, at a reader of the store, and at a node that takes the push. Several builds
 * can be compared; they take turns in one run. Run after `npm run build`:
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
    // A build without this module spreads sheets with their whole history.
    ...(await get('table/spread-history.js').catch(() => ({}))),
    ...(await get('core/configuration/push-deltas.js')),
    ...(await get('table/sheet-delta.js')),
    ...(await get('protocol/codec/store-object-shape.js')),
  };
};

const median = (values) => [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];

/** Carries one edit through all steps; `time` notes how long each took. */
const runOnce = (build, rows, time) => {
  const standing = createObject(rows);
  const text = JSON.stringify(standing);
  // A reader and a node that takes pushes hold what they once read.
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
  const delta = time('reader: tell apart', () => build.diffSheet(heldByReader, object));
  const shared = time('reader: share rows', () =>
    build.shareUnchangedRows === undefined ? object : build.applySheetDelta(heldByReader, delta),
  );
  time('reader: take into force', () => build.updateInForce(inForceAtReader, heldByReader, shared));
  const push = time('reader: encode the push', () => encode({ deltas: [delta] }));

  const taken = time('node: read the push', () => {
    const [received] = decode(push).deltas;
    if (!build.isSheetDelta(received)) {
      throw new Error('the push is malformed');
    }
    return received;
  });
  const expanded = time('node: make the sheet', () => build.applySheetDelta(heldByNode, taken));
  time('node: take into force', () => build.updateInForce(inForceAtNode, heldByNode, expanded));
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
    `\n${rows} rows, ${HISTORY} edits: pushed as ${bytes.push}, watched as ${bytes.line} bytes`,
  );
  console.log(`  medians in ms of ${ROUNDS} rounds: ${names.join(', ')}`);
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
    console.log(`  all of ${place.padEnd(19)} ${values}`);
  }
}
