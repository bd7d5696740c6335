/** What is sent over a new connection between gateways before it is needed. */
import type { SubqueryMessage } from './peer-message.js';

/**
 * Subqueries for no shard, sent over a new connection before it is needed, so that the code on both sides
 * has been compiled. After all machines have lost power a feeder gets as many from each gateway at once.
 */
export const WARM_UP_SUBQUERIES = 3;

/** Such a subquery. */
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
