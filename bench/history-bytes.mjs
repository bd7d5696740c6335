/**
 * Measures the bytes of one edit of a sheet of 10 rows in the codec of links, for histories of several lengths:
 * the push that is sent to every node, and the page pulled by a node that joins or has missed a push.
 * Run after `npm run build`: node bench/history-bytes.mjs
 */
import { Buffer } from 'node:buffer';
import { diffSheet } from '../dist/table/sheet-delta.js';
import { trimHistory } from '../dist/table/spread-history.js';
import { encodeLinkFrame } from '../dist/protocol/codec/link-frame.js';
import { createRecord, createRow, createSheetObject } from './sample-sheet.mjs';

const ROWS = 10;
const EDITED_ROW = 5;
const HISTORY_LIMIT = 2_000;
const HISTORIES = [10, 100, 256, 2_000];
const EDITS_PER_DAY = 9_200;
const SECONDS_PER_DAY = 86_400;

const rowAt = (index, weight) =>
  createRow({
    route: `route-${index}`,
    kind: 'page',
    services: [`booking-desk-${index}`],
    weight,
  });

const recordAt = (version) =>
  createRecord(version, {
    rows: [`route-${version % ROWS}/page`],
    digest: version * 7_919,
    sheetVersion: version,
  });

const standingAt = (index, newest) => {
  const version = index === EDITED_ROW ? newest : 1;
  return { row: rowAt(index, version), rowVersion: version, writtenBy: 'mair' };
};

/** Creates the sheet after the edit with version `newest`; its history has `length` records. */
const createObject = (newest, length) =>
  createSheetObject(
    newest,
    Array.from({ length: ROWS }, (_, index) => standingAt(index, newest)),
    Array.from({ length }, (_, index) => recordAt(newest - length + 1 + index)),
  );

const bytesOf = (message) => encodeLinkFrame([message]).length;
const rate = (bytes) => ((bytes * EDITS_PER_DAY) / SECONDS_PER_DAY).toFixed(0);

for (const length of HISTORIES) {
  const from = createObject(10_000, length);
  const to = createObject(10_001, Math.min(HISTORY_LIMIT, length + 1));
  const after = 10_000;
  const through = 10_001;
  const page = (object) =>
    bytesOf({ type: 'configuration-page', after, objects: [object], revision: through });
  const delta = diffSheet(trimHistory(from), trimHistory(to));
  if (delta === undefined) {
    throw new Error('the change of the sheet cannot be expressed as a delta');
  }
  const push = bytesOf({
    type: 'configuration-push',
    after,
    through,
    objects: [],
    deltas: [delta],
  });
  const whole = page(to);
  const trimmed = page(trimHistory(to));
  const json = Buffer.byteLength(JSON.stringify(to));
  console.log(
    `${length} records: push ${push} bytes (${rate(push)} B/s at ${EDITS_PER_DAY} edits per day); page ${whole} bytes with the whole history (${rate(whole)} B/s), ${trimmed} with the history that nodes hold (${rate(trimmed)} B/s); JSON from the store to a reader ${json} bytes (${rate(json)} B/s)`,
  );
}
