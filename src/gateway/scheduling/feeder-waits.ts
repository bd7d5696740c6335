/** Expected waits at feeders, as reported in their last messages. */
import type { ShardWait } from '../model/subquery.js';
import type { ClassRank } from './class-rank.js';
import type { ClassWait } from './waiting-queue.js';

/** How long a report is used, in milliseconds: longer ones would refuse gathers after the load has ended. */
const RETENTION_MS = 1_000;

/** The last report about one shard. */
interface ShardWaits {
  readonly at: number;
  readonly waits: readonly ClassWait[];
}

/** The last reports of one feeder about the shards at which attempts waited. */
export interface FeederWaits {
  /** Time of the last report. */
  at: number;
  readonly shards: Map<string, ShardWaits>;
}

/**
 * Records the waits in a message of a feeder. They replace the earlier ones of all shards of the subquery: where attempts no
 * longer wait, the message contains none.
 */
export const recordFeederWaits = (
  known: Map<string, FeederWaits>,
  feeder: string,
  shards: readonly string[],
  waits: readonly ShardWait[],
  at: number,
): void => {
  const report = known.get(feeder) ?? { at, shards: new Map<string, ShardWaits>() };
  shards.forEach((service) => report.shards.delete(service));
  for (const { service, rank, waitMs } of waits) {
    const earlier = report.shards.get(service)?.waits ?? [];
    report.shards.set(service, { at, waits: [...earlier, { rank, waitMs }] });
  }
  report.at = at;
  if (report.shards.size > 0) {
    known.set(feeder, report);
  } else {
    known.delete(feeder);
  }
};

/** Removes reports that are too old. */
export const removeOldWaits = (known: Map<string, FeederWaits>, at: number): void => {
  for (const [feeder, report] of known) {
    if (at - report.at > RETENTION_MS) {
      known.delete(feeder);
    }
  }
};

/**
 * Expected wait of a class at a shard, in milliseconds: that of the least urgent class reported that is at least as urgent.
 * The queue shrinks at least as fast as time passes if nothing is added to it.
 */
export const reportedWait = (
  report: FeederWaits | undefined,
  service: string,
  rank: ClassRank,
  at: number,
): number => {
  const known = report?.shards.get(service);
  if (known === undefined) {
    return 0;
  }
  const longest = known.waits.reduce(
    (most, wait) => (wait.rank <= rank ? Math.max(most, wait.waitMs) : most),
    0,
  );
  return Math.max(0, longest - (at - known.at));
};
