/** Warm-up messages for new connections between gateways. */
import type { SubqueryMessage } from './peer-message.js';

/**
 * Number of subqueries without shards that are sent over a new connection ahead of its use, so that the code on both
 * sides is compiled. After a power failure of all machines, a feeder receives this many from each gateway at once.
 */
export const WARM_UP_SUBQUERIES = 3;

/** A subquery without shards. */
export const WARM_UP: SubqueryMessage = {
  type: 'subquery',
  id: 0,
  requestId: '',
  method: 'GET',
  path: '/',
  headers: [],
  body: null,
  subquery: {
    route: '',
    shards: [],
    maxRecords: 0,
    maxAttempts: 1,
    objectiveMs: 1,
    partsWithinMs: 1,
    deadlineMs: 1,
    isRepeat: false,
  },
};
