/**
 * The replicas of a shard that one request should keep to. A request that is sent by one feeder, and
 * again by another after the first has failed, must not run on more replicas than its route allows,
 * and neither feeder knows what the other has done: both draw the same replicas from the request's
 * identifier.
 *
 * Replicas of the gateway's own region come first: all feeders of a request are in one region, and
 * bytes between regions are dear and slow.
 */
import { hash32 } from '../../core/hash.js';
import type { Replica } from './replica.js';

const isListed = ({ record, goneAt }: Replica): boolean => !record.draining && goneAt === undefined;

interface ScoredReplica {
  readonly id: string;
  readonly isNear: boolean;
  readonly score: number;
}

const byPreference = (left: ScoredReplica, right: ScoredReplica): number =>
  Number(right.isNear) - Number(left.isNear) || right.score - left.score;

/**
 * The first `count` listed replicas, those of the same region before the others and in rendezvous
 * order; undefined when there are no more than that.
 *
 * @param requestId - the identifier that the caller chose
 * @param isNear - whether a zone is in the region of this gateway
 */
export const preferredReplicas = (
  replicas: readonly Replica[],
  requestId: string,
  count: number,
  isNear: (zone: string) => boolean,
): ReadonlySet<string> | undefined => {
  const listed = replicas.filter(isListed);
  if (listed.length <= count) {
    return undefined;
  }
  const scored = listed.map(({ record: { id, zone } }) => ({
    id,
    isNear: isNear(zone),
    score: hash32(`${requestId}/${id}`),
  }));
  scored.sort(byPreference);
  return new Set(scored.slice(0, count).map(({ id }) => id));
};
