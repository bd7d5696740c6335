/** Sample rows and records of a sheet for the measurements in this folder. */

/** Creates a row of the partner `ensemble` with its route, kind and services; `fields` override the defaults. */
export const createRow = ({ route, kind, services, ...fields }) => ({
  partner: 'ensemble',
  route,
  kind,
  services,
  fanOut: 'all',
  merge: 'top',
  maxItems: 100,
  weight: 1,
  deadlineMs: 500,
  coverage: 1,
  safeToRepeat: true,
  extraLoadLimit: 0.02,
  hedging: true,
  snapshotPolicy: 'covered',
  ...fields,
});

/** Creates the record of edit `number`, with its rows, digest and sheet version. */
export const createRecord = (number, { rows, digest, sheetVersion }) => ({
  edit: `edit-${number}-0123456789abcdef`,
  operator: 'mair',
  writtenAt: 1_800_000_000_000 + number,
  reason: 'season opens',
  rows,
  digest,
  sheetVersion,
});

/** Creates the store object of the sheet of the partner `ensemble`. */
export const createSheetObject = (version, rows, history) => ({
  name: 'sheet/ensemble',
  version,
  revision: version,
  content: { type: 'sheet', sheet: { partner: 'ensemble', rows, history } },
});
