/**
 * Tracks since when nothing has disturbed the tier. The time bounds of the invariants are measured
 * from the end of the last disturbance, because no information crosses a network cut.
 */

/** Tracks ongoing disturbances (cuts, pauses, store outages) and momentary ones (crashes). */
export class DisturbanceTracker {
  private readonly ongoing = new Set<string>();
  private lastEndedAt = 0;

  constructor(private readonly clock: { readonly now: number }) {}

  /** Records a momentary disturbance, such as a crash. */
  recordMomentary(): void {
    this.lastEndedAt = this.clock.now;
  }

  /** Begins a disturbance that lasts until `end` is called with the same name. */
  begin(name: string): void {
    this.ongoing.add(name);
  }

  /** Ends the disturbance `name`; does nothing if it is not ongoing. */
  end(name: string): void {
    if (this.ongoing.delete(name)) {
      this.lastEndedAt = this.clock.now;
    }
  }

  /** Virtual time of the end of the last disturbance; undefined while one is ongoing. */
  get undisturbedSince(): number | undefined {
    return this.ongoing.size > 0 ? undefined : this.lastEndedAt;
  }
}
