/**
 * Selects the replicas of a shard that one request may use. When a feeder fails and another one sends the request again, the
 * request must not run on more replicas than its route allows, although neither feeder knows the other's attempts.
 *
 * All feeders derive the same replicas from the request's identifier, one fewer than the route allows. The first feeder may
 * use one additional replica of its choice, so that its first attempt can avoid replicas that it knows to be slow; later
 * feeders use only the derived ones. So the total stays within the limit.
 *
 * Replicas of the gateway's own region come first: all feeders of a request are in one region, and traffic between regions
 * is expensive and slow.
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

/** Replicas that are listed and not draining. */
export const listedReplicas = (replicas: readonly Replica[]): readonly Replica[] =>
  replicas.filter(isListed);

/**
 * Returns the identifiers of the first `count` of the `listed` replicas in rendezvous order, with those of this gateway's
 * region before the others.
 *
 * @param requestId - identifier that the caller gave the request
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
