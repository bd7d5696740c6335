/** Builds rows of a sheet from their differences to the default row. */
import {
  identifier,
  type PartnerId,
  type RequestKind,
  type RouteName,
} from '../core/identifiers.js';
import type { RouteRow } from '../table/route-row.js';

/** Extra-load limit of the deployments' rows, as a share of their load. */
const DEPLOYMENT_EXTRA_LOAD_LIMIT = 0.03;

/** Maximum number of items of an answer that combines all shards. */
const DEPLOYMENT_MAX_ITEMS = 500;

const DEFAULT_ROW = {
  fanOut: 'all',
  merge: 'concatenate',
  maxItems: DEPLOYMENT_MAX_ITEMS,
  weight: 1,
  coverage: 1,
  safeToRepeat: true,
  extraLoadLimit: DEPLOYMENT_EXTRA_LOAD_LIMIT,
  hedging: true,
  snapshotPolicy: 'covered',
} as const;

/** Required fields of a row, and optional fields that override the defaults. */
export interface RowDescription extends Partial<Omit<RouteRow, 'partner' | 'route' | 'kind'>> {
  readonly route: string;
  readonly kind: string;
  readonly services: readonly string[];
  readonly deadlineMs: number;
}

/** Builds a row of `partner`. */
export const buildRow = (partner: PartnerId, description: RowDescription): RouteRow => ({
  ...DEFAULT_ROW,
  ...description,
  partner,
  route: identifier<RouteName>(description.route),
  kind: identifier<RequestKind>(description.kind),
});

/** Common fields of rows that change data: at most one attempt may run. */
export const AT_MOST_ONCE = {
  fanOut: 'key',
  maxItems: 1,
  safeToRepeat: false,
  hedging: false,
  extraLoadLimit: 0,
} as const;
