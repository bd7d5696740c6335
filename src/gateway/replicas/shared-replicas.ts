/**
 * The replicas of a shard that one request keeps to. A request that is sent by one feeder, and again by
 * another after the first has failed, must not run on more replicas than its route allows, and neither
 * feeder knows what the other has done.
 *
 * All feeders draw the same replicas from the request's identifier, one fewer than the route allows. The
 * first feeder may choose one replica besides, whichever is best; those that come after it keep to the
 * drawn ones. So its first attempt goes round all slow replicas that it knows of, and the sum holds.
 *
 * Replicas of the gateway's own region are drawn first: all feeders of a request are in one region, and
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

/** Replicas that may be sent a request at all. */
export const listedReplicas = (replicas: readonly Replica[]): readonly Replica[] =>
  replicas.filter(isListed);

/**
 * The first `count` of `listed`, those of the same region before the others and in rendezvous order.
 *
 * @param requestId - the identifier that the caller chose
 * @param isNear - whether a zone is in the region of this gateway
 */
export const drawReplicas = (
  listed: readonly Replica[],
  requestId: string,
  count: number,
  isNear: (zone: string) => boolean,
): ReadonlySet<string> => {
  const scored = listed.map(({ record: { id, zone } }) => ({
    id,
    isNear: isNear(zone),
    score: hash32(`${requestId}/${id}`),
  }));
  scored.sort(byPreference);
  return new Set(scored.slice(0, count).map(({ id }) => id));
};
