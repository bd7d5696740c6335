/** Warnings about a row: values that are valid but probably not intended. */
import type { ColumnName } from './columns.js';
import type { RouteRow } from './route-row.js';
import type { RowContext } from './row-context.js';

/** A warning about one column of a row. */
export interface RowWarning {
  readonly column: ColumnName;
  readonly problem: string;
}

type WarningRule = (row: RouteRow, context: RowContext) => readonly RowWarning[];

const warnIf = (condition: boolean, column: ColumnName, problem: string): readonly RowWarning[] =>
  condition ? [{ column, problem }] : [];

const unmatchedServices: WarningRule = (row, context) =>
  row.services
    .filter((entry) => context.servicesKnown && context.matchEntry(entry).length === 0)
    .map((entry) => ({ column: 'services', problem: `no service known is named ${entry}` }));

/** Number of concurrent queries that the services of the row have slots for; undefined if unknown. */
const concurrentCapacity = (row: RouteRow, context: RowContext): number | undefined => {
  const services = context.matchRow(row);
  if (services.length === 0) {
    return undefined;
  }
  return row.fanOut === 'all'
    ? Math.min(...services.map(({ slots, shards }) => Math.floor(slots / (shards ?? 1))))
    : services.reduce((sum, { slots }) => sum + slots, 0);
};

const slowestMean = (row: RouteRow, context: RowContext): number | undefined => {
  const means = context.matchRow(row).flatMap(({ meanLegMs }) => meanLegMs ?? []);
  return means.length === 0 ? undefined : Math.max(...means);
};

const concurrentAboveCapacity: WarningRule = (row, context) => {
  const capacity = concurrentCapacity(row, context);
  const exceeded =
    capacity !== undefined && row.concurrentLimit !== undefined && row.concurrentLimit > capacity;
  const problem = `is above the capacity of the services, ${capacity} queries at once`;
  return warnIf(exceeded, 'concurrentLimit', problem);
};

const perSecondAboveCapacity: WarningRule = (row, context) => {
  const capacity = concurrentCapacity(row, context);
  const mean = slowestMean(row, context);
  if (capacity === undefined || mean === undefined || row.perSecondLimit === undefined) {
    return [];
  }
  const perSecond = Math.floor((capacity * 1_000) / Math.max(mean, 0.001));
  const problem = `is above the capacity of the services, about ${perSecond} queries a second`;
  return warnIf(row.perSecondLimit > perSecond, 'perSecondLimit', problem);
};

const deadlineBelowMean: WarningRule = (row, context) => {
  const mean = slowestMean(row, context);
  const problem = `is below the mean leg of the slowest service, ${mean?.toFixed(1)} ms`;
  return warnIf(mean !== undefined && row.deadlineMs < mean, 'deadlineMs', problem);
};

const weightUnused: WarningRule = (row, context) =>
  warnIf(
    row.weight !== 1 && !context.sharesServices(row),
    'weight',
    'has no effect: no other row uses these services',
  );

const hedgingWarnings: WarningRule = (row) => [
  ...warnIf(
    row.hedging && row.extraLoadLimit === 0,
    'hedging',
    'has no effect: the extra load limit is 0',
  ),
  ...warnIf(
    row.hedging && !row.safeToRepeat,
    'hedging',
    'has no effect: the request is not safe to repeat',
  ),
];

const coverageWarnings: WarningRule = (row) => [
  ...warnIf(
    row.coverage < 1 && row.fanOut === 'key',
    'coverage',
    'has no effect: the query goes to one shard',
  ),
  ...warnIf(
    row.coverage < 1 && row.fanOut === 'all' && row.merge === 'sum',
    'coverage',
    'lets a sum leave out shards',
  ),
  ...warnIf(row.coverage === 0, 'coverage', 'lets a query end with no shard at all'),
];

const unsafeToAllShards: WarningRule = (row) =>
  warnIf(
    !row.safeToRepeat && row.fanOut === 'all',
    'fanOut',
    'sends a request that is not safe to repeat to every shard',
  );

const RULES: readonly WarningRule[] = [
  unmatchedServices,
  concurrentAboveCapacity,
  perSecondAboveCapacity,
  deadlineBelowMean,
  weightUnused,
  hedgingWarnings,
  coverageWarnings,
  unsafeToAllShards,
];

/** Lists all warnings about a row. */
export const findRowWarnings = (row: RouteRow, context: RowContext): RowWarning[] =>
  RULES.flatMap((rule) => rule(row, context));
