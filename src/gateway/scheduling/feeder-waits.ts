/** Expected waits at feeders, as reported in their last messages. */
import type { ShardWait } from '../model/subquery.js';
import type { ClassRank } from './class-rank.js';
import type { ClassWait } from './waiting-queue.js';

/** How long a report is used, in milliseconds: longer ones would refuse gathers after the load has ended. */
const RETENTION_MS = 1_000;

/** The last report of one feeder. */
export interface FeederWaits {
  at: number;
  readonly shards: Map<string, readonly ClassWait[]>;
}

/** Records the waits in a message of a feeder; they replace the earlier ones of the same shards. */
export const recordFeederWaits = (
  known: Map<string, FeederWaits>,
  feeder: string,
  waits: readonly ShardWait[],
  at: number,
): void => {
  const report = known.get(feeder) ?? { at, shards: new Map<string, readonly ClassWait[]>() };
  const byShard = new Map<string, ClassWait[]>();
  for (const { service, rank, waitMs } of waits) {
    const classWaits = byShard.get(service) ?? [];
    classWaits.push({ rank, waitMs });
    byShard.set(service, classWaits);
  }
  byShard.forEach((classWaits, service) => report.shards.set(service, classWaits));
  report.at = at;
  known.set(feeder, report);
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
  const waits = report?.shards.get(service) ?? [];
  const longest = waits.reduce(
    (most, wait) => (wait.rank <= rank ? Math.max(most, wait.waitMs) : most),
    0,
  );
  return Math.max(0, longest - (at - (report?.at ?? at)));
};
