/**
 * Counts, by class, the attempts offered to a shard and those started while attempts wait there. A class that has started a
 * smaller share of its attempts than the limit is due, and goes before more urgent ones.
 */
import type { ClassRank } from './class-rank.js';

/**
 * A class is due when its started share is below this fraction of the share of all classes. Customers set
 * a floor for the worth of each class that is nearly as high as the one for all classes together.
 */
const LEAST_SHARE = 0.75;

/** Counts are halved when this many attempts were offered, so that the shares follow the recent load. */
const MAX_OFFERED = 512;

interface Counts {
  offered: number;
  started: number;
}

/** Offered and started attempts of one shard by class. */
export class ClassShares {
  private readonly classes = new Map<ClassRank, Counts>();
  private readonly total: Counts = { offered: 0, started: 0 };

  /** Counts an attempt that begins to wait. */
  addOffered(rank: ClassRank): void {
    this.countsOf(rank).offered += 1;
    this.total.offered += 1;
    if (this.total.offered >= MAX_OFFERED) {
      this.halve();
    }
  }

  /** Counts a waiting attempt that starts. */
  addStarted(rank: ClassRank): void {
    this.countsOf(rank).started += 1;
    this.total.started += 1;
  }

  /** Whether the class is owed at least one start. */
  isDue(rank: ClassRank): boolean {
    const counts = this.classes.get(rank);
    const { offered, started } = this.total;
    return counts !== undefined && offered > 0
      ? counts.started + 1 <= (LEAST_SHARE * counts.offered * started) / offered
      : false;
  }

  private countsOf(rank: ClassRank): Counts {
    const known = this.classes.get(rank) ?? { offered: 0, started: 0 };
    this.classes.set(rank, known);
    return known;
  }

  private halve(): void {
    this.total.offered /= 2;
    this.total.started /= 2;
    for (const [rank, counts] of this.classes) {
      counts.offered /= 2;
      counts.started /= 2;
      if (counts.offered < 1) {
        this.classes.delete(rank);
      }
    }
  }
}
