/**
 * The replicas of a shard that one request should keep to. A request that is sent by one feeder, and
 * again by another after the first has failed, must not run on more replicas than its route allows,
 * and neither feeder knows what the other has done: both draw the same replicas from the request's
 * identifier.
 */
import { hash32 } from '../../core/hash.js';
import type { Replica } from './replica.js';

const isListed = ({ record, goneAt }: Replica): boolean => !record.draining && goneAt === undefined;

/**
 * The first `count` listed replicas in rendezvous order; undefined when there are no more than that.
 *
 * @param requestId - the identifier that the caller chose
 */
export const preferredReplicas = (
  replicas: readonly Replica[],
  requestId: string,
  count: number,
): ReadonlySet<string> | undefined => {
  const ids = replicas.filter(isListed).map(({ record }) => record.id);
  if (ids.length <= count) {
    return undefined;
  }
  const scored = ids.map((id) => ({ id, score: hash32(`${requestId}/${id}`) }));
  scored.sort((left, right) => right.score - left.score);
  return new Set(scored.slice(0, count).map(({ id }) => id));
};
