/**
 * Measures the import of a sheet of 10,000 rows with all checks, relative to a bare parse of the same file. The
 * variants alternate in one run; several builds can be compared. Run after `npm run build`:
 * node bench/table-import.mjs [directory of a build]...
 */
import { performance } from 'node:perf_hooks';
import { resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import { parse } from 'csv-parse/sync';
import { createRow } from './sample-sheet.mjs';

const ROWS = 10_000;
const ROUNDS = 15;
const SERVICES = 200;

const rowAt = (index) =>
  createRow({
    route: `route-${Math.floor(index / 10)}`,
    kind: `kind-${index % 10}`,
    services: [`booking-desk-${index % SERVICES}`, 'festival-notices-1*'],
    weight: 1 + (index % 7),
    deadlineMs: 500 + index,
    concurrentLimit: 1 + (index % 900),
  });

const load = async (directory) => {
  const get = (file) => import(pathToFileURL(resolve(directory, 'table', file)).href);
  return {
    ...(await get('diff-rows.js')),
    ...(await get('sheet-csv.js')),
    ...(await get('validate-rows.js')),
  };
};

const directories = process.argv.slice(2);
const names = directories.length > 0 ? directories : ['dist'];
const builds = await Promise.all(names.map(load));
const [{ formatSheetCsv }] = builds;

const rows = Array.from({ length: ROWS }, (_, index) => rowAt(index));
const text = formatSheetCsv(rows);
// In the second file, a tenth of the rows have an invalid weight and deadline.
const wrongText = text
  .split('\n')
  .map((line, index) =>
    index % 10 === 5 ? line.replace(/,top,100,\d+,\d+,/, ',top,100,0,0,') : line,
  )
  .join('\n');
const services = Array.from({ length: SERVICES }, (_, index) => ({
  service: `booking-desk-${index}`,
  slots: 10,
  meanLegMs: 20,
}));
const standing = rows.map((row) => ({ row, rowVersion: 1, writtenBy: 'mair' }));

const importRows = ({ parseSheetCsv, validateRows, diffRows }, file) =>
  parseSheetCsv(file, 'sheet.csv').map((read) => {
    const findings = validateRows(read, { place: 'sheet.csv', partner: 'ensemble', services });
    return { findings, differences: diffRows(standing, read, 'removed') };
  });

const importsOf = (build, name) => ({
  [`${name}: without errors`]: () => importRows(build, text).unsafeCoerce(),
  [`${name}: with 2,000 errors`]: () => importRows(build, wrongText).swap().unsafeCoerce(),
});

const variants = Object.assign(
  { 'bare parse': () => parse(text) },
  ...builds.map((build, index) => importsOf(build, names[index])),
);

const median = (values) => [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
const times = new Map(Object.keys(variants).map((name) => [name, []]));
for (let round = 0; round < ROUNDS; round += 1) {
  for (const [name, run] of Object.entries(variants)) {
    const began = performance.now();
    run();
    times.get(name).push(performance.now() - began);
  }
}
const bare = median(times.get('bare parse'));
for (const [name, values] of times) {
  const ratio = (median(values) / bare).toFixed(2);
  const worst = Math.max(...values).toFixed(1);
  console.log(`${name}: median ${median(values).toFixed(1)} ms, worst ${worst} ms, ratio ${ratio}`);
}
console.log(`${ROWS} rows, ${text.length} characters, ${ROUNDS} rounds`);
const [build] = builds;
console.log(`findings: ${importRows(build, wrongText).swap().unsafeCoerce().length} errors,`);
console.log(`${importRows(build, text).unsafeCoerce().findings.length} warnings`);
