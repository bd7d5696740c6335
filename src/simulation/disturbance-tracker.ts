/**
 * Knows since when nothing has disturbed the tier. Promises that hold "within seconds" are counted
 * from the last disturbance: nothing can be known across a cut while it lasts.
 */

/** Tracks disturbances: what lasts (cuts, pauses, an absent store) and what happens once (crashes). */
export class DisturbanceTracker {
  private readonly ongoing = new Set<string>();
  private lastEndedAt = 0;

  constructor(private readonly clock: { readonly now: number }) {}

  /** Notes something that happens at once, such as a crash. */
  recordMomentary(): void {
    this.lastEndedAt = this.clock.now;
  }

  /** Begins something that lasts until `end` is called with the same name. */
  begin(name: string): void {
    this.ongoing.add(name);
  }

  /** Ends something that lasts. */
  end(name: string): void {
    if (this.ongoing.delete(name)) {
      this.lastEndedAt = this.clock.now;
    }
  }

  /** Since when there has been no disturbance; undefined while one lasts. */
  get undisturbedSince(): number | undefined {
    return this.ongoing.size > 0 ? undefined : this.lastEndedAt;
  }
}
