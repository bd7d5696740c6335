/** The request and the answer that all processes of the benchmark use. */

/** The partner, route, kind and secrets of the benchmark. */
export const BENCH = {
  partner: 'bench',
  route: 'roster',
  kind: 'page',
  secret: 'caller-secret-of-the-benchmark',
  peerSecret: 'peer-secret-of-the-benchmark',
} as const;

/** Number of items in the answer of one shard. */
const ITEMS_PER_SHARD = 3;

/** Returns the name of the shard with this index. */
export const shardName = (index: number): string => `roster-${index}`;

/** Formats the request body of a leg, as a node sends it. */
export const formatBenchRequest = (request: string, attempt: string, shard: string): string =>
  JSON.stringify({
    attempt,
    shard,
    request,
    partner: BENCH.partner,
    route: BENCH.route,
    kind: BENCH.kind,
    snapshot: 1,
    maxItems: 100,
    safeToRepeat: true,
    payload: { season: 'spring', hall: 'arada' },
  });

/** Formats the answer body of a leg. */
export const formatBenchAnswer = (leg: {
  request: string;
  attempt: string;
  shard: string;
}): string =>
  JSON.stringify({
    request: leg.request,
    attempt: leg.attempt,
    shard: leg.shard,
    snapshot: 1,
    items: Array.from({ length: ITEMS_PER_SHARD }, (_, index) => ({
      id: `${leg.shard}-${index}`,
      score: index,
      value: { hall: 'arada', day: index },
    })),
    load: { inFlight: 1, queued: 0 },
  });
