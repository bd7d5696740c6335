/**
 * The columns of a partner's sheet, with their types and documentation. Validation, the CSV header,
 * help texts, the operators' page and the reference page are derived from this list.
 */
import type { RouteRow } from './route-row.js';

/** The name of a column; also the field of a row in JSON and the header in CSV. */
export type ColumnName = keyof RouteRow;

interface ColumnBase {
  readonly name: ColumnName;
  /** Description of the column, in one or two sentences. */
  readonly help: string;
}

/** A column that holds a lower-case name, e.g. `season-roster`. */
export interface NameColumn extends ColumnBase {
  readonly type: 'name';
}

/** A column that holds service names or prefixes ending in `*`, separated by spaces in CSV. */
export interface ServicesColumn extends ColumnBase {
  readonly type: 'services';
}

/** A column that holds one of a fixed set of words. */
export interface ChoiceColumn extends ColumnBase {
  readonly type: 'choice';
  readonly choices: readonly string[];
  readonly defaultValue?: string;
}

/** A column that holds a number between two bounds. */
export interface NumberColumn extends ColumnBase {
  readonly type: 'number';
  readonly integer: boolean;
  readonly minimum: number;
  /** True if the minimum is exclusive. */
  readonly aboveMinimum?: boolean;
  readonly maximum: number;
  readonly unit?: string;
  readonly defaultValue?: number;
  /** True if the cell may be empty, which means no limit. */
  readonly optional?: boolean;
}

/** A column that holds true or false. */
export interface FlagColumn extends ColumnBase {
  readonly type: 'flag';
  readonly defaultValue?: boolean;
}

/** A column of the sheet. */
export type Column = NameColumn | ServicesColumn | ChoiceColumn | NumberColumn | FlagColumn;

/** Maximum length of the name of a partner, route, kind or service, in characters. */
export const NAME_LIMIT = 63;
/** Maximum number of services or prefixes in one row. */
export const SERVICES_LIMIT = 64;
/** Largest allowed value of `maxItems`. */
const MAX_ITEMS_LIMIT = 10_000;
/** Largest allowed weight of a row. */
const WEIGHT_LIMIT = 1_000;
/** Largest allowed deadline of a row, in milliseconds. */
const DEADLINE_LIMIT_MS = 60_000;
/** Largest allowed limit of queries, concurrent or per second. */
const QUERY_LIMIT = 1_000_000;

/** All columns, in the order of the sheet. */
export const COLUMNS: readonly Column[] = [
  {
    name: 'partner',
    type: 'name',
    help: 'Partner that owns the row. Only its operators can write the row.',
  },
  { name: 'route', type: 'name', help: 'Name of the route; callers use it in the path.' },
  {
    name: 'kind',
    type: 'name',
    help: 'Kind of request. Route and kind together identify the row.',
  },
  {
    name: 'services',
    type: 'services',
    help: 'Services whose shards a query uses; a prefix ending in * matches all services that begin with it.',
  },
  {
    name: 'fanOut',
    type: 'choice',
    choices: ['all', 'key'],
    defaultValue: 'all',
    help: 'Whether a query goes to every shard of the services, or only to the shard its key hashes to.',
  },
  {
    name: 'merge',
    type: 'choice',
    choices: ['concatenate', 'top', 'sum'],
    defaultValue: 'concatenate',
    help: 'How the answers of the shards are merged: all items, the items with the highest scores, or the sum of scores by item.',
  },
  {
    name: 'maxItems',
    type: 'number',
    integer: true,
    minimum: 1,
    maximum: MAX_ITEMS_LIMIT,
    defaultValue: 100,
    help: 'Maximum number of items in an answer.',
  },
  {
    name: 'weight',
    type: 'number',
    integer: false,
    minimum: 0,
    aboveMinimum: true,
    maximum: WEIGHT_LIMIT,
    defaultValue: 1,
    help: "Share of the partner's capacity, relative to its other rows on the same services.",
  },
  {
    name: 'deadlineMs',
    type: 'number',
    integer: true,
    minimum: 1,
    maximum: DEADLINE_LIMIT_MS,
    unit: 'ms',
    defaultValue: 1_000,
    help: 'Maximum duration of a query; callers may request a shorter one.',
  },
  {
    name: 'coverage',
    type: 'number',
    integer: false,
    minimum: 0,
    maximum: 1,
    defaultValue: 1,
    help: 'Share of shards that is enough to answer a query before its deadline; 1 waits for all.',
  },
  {
    name: 'safeToRepeat',
    type: 'flag',
    help: 'False for bookings and ledger changes: such a request runs at most once. Has no default.',
  },
  {
    name: 'concurrentLimit',
    type: 'number',
    integer: true,
    minimum: 1,
    maximum: QUERY_LIMIT,
    unit: 'queries',
    optional: true,
    help: 'Maximum number of concurrent queries, over all nodes together.',
  },
  {
    name: 'perSecondLimit',
    type: 'number',
    integer: false,
    minimum: 0,
    aboveMinimum: true,
    maximum: QUERY_LIMIT,
    unit: 'queries a second',
    optional: true,
    help: 'Maximum number of queries per second, over all nodes together.',
  },
  {
    name: 'extraLoadLimit',
    type: 'number',
    integer: false,
    minimum: 0,
    maximum: 1,
    defaultValue: 0.02,
    help: 'Maximum number of hedges and retries, as a share of the legs that the queries need.',
  },
  {
    name: 'hedging',
    type: 'flag',
    defaultValue: true,
    help: 'Whether a slow leg may be sent to a second replica, within the extra load limit.',
  },
  {
    name: 'snapshotPolicy',
    type: 'choice',
    choices: ['covered', 'newest'],
    defaultValue: 'covered',
    help: 'Which snapshot a query pins: the newest that enough replicas of every shard serve, or the newest of all.',
  },
];
