/**
 * Measures time and bytes of the operators' table page for several numbers of rows in the sheet: the first page
 * after an edit (when the rows are sorted again), the next page, a filtered page, and the JSON of the whole
 * table. Run after `npm run build`: node bench/table-page.mjs
 */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { URLSearchParams } from 'node:url';
import { createCoreState } from '../dist/core/state.js';
import { step } from '../dist/core/reducer.js';
import { demoKeys, demoSecret } from '../dist/deployments/demo-keys.js';
import { createNodeMetrics } from '../dist/metrics/node-metrics.js';
import { createOperatorApp } from '../dist/operator/create-operator-app.js';
import { createRow } from './sample-sheet.mjs';

const ROUNDS = 15;
const SIZES = [100, 1_000, 10_000];
const ORIGIN = 'http://localhost';

const rowAt = (index) =>
  createRow({
    route: `route-${String(index).padStart(5, '0')}`,
    kind: 'page',
    services: [`booking-desk-${index % 200}`],
  });

const state = createCoreState({
  self: {
    node: 'bole/node-1',
    zone: 'bole',
    region: 'south',
    address: { host: '127.0.0.1', port: 1 },
    incarnation: 1,
  },
  seeds: [],
  seed: 1,
});
const now = () => Date.now();
const app = createOperatorApp({
  state: () => state,
  submitEdit: () => Promise.reject(new Error('edits are not supported by this benchmark')),
  now,
  monotonicNow: () => performance.now(),
  sessionSecret: 'session-secret-of-the-bench',
  metrics: createNodeMetrics(() => state, now),
  log: { info: () => undefined, warn: console.error },
});

let revision = 0;
const put = (name, content) => {
  const after = revision;
  revision += 1;
  const objects = [{ name, version: revision, revision, content }];
  step(state, { type: 'store-changed', at: 0, after, through: revision, objects });
};

put('keys/ensemble', { type: 'keys', keys: demoKeys('ensemble') });
const key = demoSecret('ensemble', 'operator');
const signedIn = await app.request(`${ORIGIN}/sign-in`, {
  method: 'POST',
  headers: { origin: ORIGIN, 'content-type': 'application/x-www-form-urlencoded' },
  body: new URLSearchParams({ key }).toString(),
});
const headers = {
  cookie: (signedIn.headers.get('set-cookie') ?? '').split(';')[0],
  authorization: `Bearer ${key}`,
};

const VISITS = [
  ['first page after an edit', '/table'],
  ['next page', '/table?page=2'],
  ['filtered to 10 rows', '/table?filter=route-0003'],
  ['JSON of the whole table', '/v1/table'],
];
const median = (values) => [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];

const visit = async (path) => {
  const began = performance.now();
  const response = await app.request(`${ORIGIN}${path}`, { headers });
  const text = await response.text();
  if (response.status !== 200) {
    throw new Error(`${path} answered ${response.status}`);
  }
  return { took: performance.now() - began, bytes: Buffer.byteLength(text) };
};

const measure = async (size) => {
  const rows = Array.from({ length: size }, (_, index) => rowAt(index));
  const visits = VISITS.map(() => []);
  for (let round = 0; round < ROUNDS; round += 1) {
    const standing = rows.map((row) => ({ row, rowVersion: 1, writtenBy: 'mair' }));
    const sheet = { partner: 'ensemble', rows: standing, history: [] };
    put('sheet/ensemble', { type: 'sheet', sheet });
    for (const [index, [, path]] of VISITS.entries()) {
      visits[index].push(await visit(path));
    }
  }
  return visits;
};

for (const size of SIZES) {
  const visits = await measure(size);
  VISITS.forEach(([name], index) => {
    const took = median(visits[index].map((each) => each.took)).toFixed(1);
    const kilobytes = (visits[index][0].bytes / 1_000).toFixed(0);
    console.log(`${size} rows, ${name}: median ${took} ms, ${kilobytes} KB`);
  });
}
