/** Computes how many shards suffice for an early answer. */
import type { RouteRow } from '../../table/route-row.js';
import type { QueryRequest } from './query-request.js';

/** Returns how many of `shards` shards reach the caller's coverage, or else the row's; at least 1. */
export const countRequiredShards = (row: RouteRow, query: QueryRequest, shards: number): number =>
  Math.max(1, Math.ceil(shards * (query.coverage ?? row.coverage)));
