/** What the checks of one row need to know of the others and of the back ends. */
import { matchesService, type BackendService } from './backend-service.js';
import type { RouteRow } from './route-row.js';

/** Resolves the services of rows, once for each combination that occurs. */
export interface RowContext {
  /** True when the services of the partner are known at all. */
  readonly servicesKnown: boolean;
  /** Services that one entry of a row stands for. */
  matchEntry(entry: string): readonly BackendService[];
  /** Services of a row, each once. */
  matchRow(row: RouteRow): readonly BackendService[];
  /** Whether another row of the sheet uses one of the services of this row, which is asked about. */
  sharesServices(row: RouteRow): boolean;
}

type ServicesOf = (row: RouteRow) => readonly string[];

/** Services of `asked` that two rows or more use; ends as soon as that is known of all of them. */
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

/** Names the services of a row for the cache; most rows have one. */
const servicesCacheKey = ({ services }: RouteRow): string =>
  services.length === 1 ? (services[0] ?? '') : services.join(' ');

/**
 * Builds the context for the checks of `asked`.
 *
 * @param rows - all rows of the sheet
 * @param asked - those of them that are checked
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
