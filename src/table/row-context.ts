/** Context for the checks of a row: the other rows of the sheet and the back-end services. */
import { matchesService, type BackendService } from './backend-service.js';
import type { RouteRow } from './route-row.js';

/** Resolves the services of rows; results are cached for each combination of entries. */
export interface RowContext {
  /** True if the list of the partner's services is known. */
  readonly servicesKnown: boolean;
  /** Services that match one entry of a row. */
  matchEntry(entry: string): readonly BackendService[];
  /** Services of a row, without duplicates. */
  matchRow(row: RouteRow): readonly BackendService[];
  /** Whether another row uses a service of `row`, which must be among the checked rows. */
  sharesServices(row: RouteRow): boolean;
}

type ServicesOf = (row: RouteRow) => readonly string[];

/** Services of `asked` that at least two of `rows` use; stops early once all are found. */
const findSharedServices = (
  rows: readonly RouteRow[],
  asked: readonly RouteRow[],
  servicesOf: ServicesOf,
): ReadonlySet<string> => {
  const unused = new Set(asked.flatMap(servicesOf));
  const usedOnce = new Set<string>();
  const shared = new Set<string>();
  for (const row of rows) {
    if (unused.size + usedOnce.size === 0) {
      break;
    }
    for (const service of servicesOf(row)) {
      if (usedOnce.delete(service)) {
        shared.add(service);
      } else if (unused.delete(service)) {
        usedOnce.add(service);
      }
    }
  }
  return shared;
};

const computeOnce = <Value>(compute: () => Value): (() => Value) => {
  let computed: { readonly value: Value } | undefined;
  return () => (computed ??= { value: compute() }).value;
};

const cacheByKey = <Value>(compute: (key: string) => Value): ((key: string) => Value) => {
  const cache = new Map<string, Value>();
  return (key) => {
    const cached = cache.get(key);
    if (cached !== undefined) {
      return cached;
    }
    const value = compute(key);
    cache.set(key, value);
    return value;
  };
};

/** Cache key for the services of a row; avoids the join for rows with one service, the usual case. */
const servicesCacheKey = ({ services }: RouteRow): string =>
  services.length === 1 ? (services[0] ?? '') : services.join(' ');

/**
 * Creates the context for the checks of the rows `asked`.
 *
 * @param rows - all rows of the sheet
 * @param asked - the rows to be checked
 */
export const createRowContext = (
  rows: readonly RouteRow[],
  asked: readonly RouteRow[],
  services: readonly BackendService[] | undefined,
): RowContext => {
  const known = services ?? [];
  const matchEntry = cacheByKey((entry: string) =>
    known.filter(({ service }) => matchesService(entry, service)),
  );
  const matchEntries = cacheByKey((entries: string) => [
    ...new Set(entries.split(' ').flatMap(matchEntry)),
  ]);
  const matchRow = (row: RouteRow): readonly BackendService[] =>
    matchEntries(servicesCacheKey(row));
  const servicesOf: ServicesOf = (row) => {
    const matched = matchRow(row).map(({ service }) => service);
    return matched.length > 0 ? matched : row.services;
  };
  const shared = computeOnce(() => findSharedServices(rows, asked, servicesOf));
  return {
    servicesKnown: services !== undefined,
    matchEntry,
    matchRow,
    sharesServices: (row) => servicesOf(row).some((service) => shared().has(service)),
  };
};
