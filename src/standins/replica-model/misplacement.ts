/** Checks whether a replica holds the shard of a request. */
import type { LegRequest, ReplicaRefusalReason } from './leg-exchange.js';
import type { HeldSnapshot } from './replica-faults.js';

const shardNumberOf = (service: string, shard: string): number | undefined => {
  const number = Number(shard.slice(service.length + 1));
  return shard.startsWith(`${service}#`) && Number.isInteger(number) && number >= 0
    ? number
    : undefined;
};

/** Returns why a replica of `service` with `snapshots` cannot run `leg`; undefined if it can. */
export const findMisplacement = (
  service: string,
  snapshots: readonly HeldSnapshot[],
  leg: LegRequest,
): Extract<ReplicaRefusalReason, 'snapshot-gone' | 'unknown-shard'> | undefined => {
  const held = snapshots.find(({ version }) => version === leg.snapshot);
  if (held === undefined) {
    return 'snapshot-gone';
  }
  const number = shardNumberOf(service, leg.shard);
  return number === undefined || number >= held.shardCount ? 'unknown-shard' : undefined;
};
