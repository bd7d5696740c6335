/** Copies of the store, as its platform makes them: one each half second, kept for as long as one may return. */
import type { StandInStore, StoreBackup } from '../../test/platform/stand-in-store.js';

const COPY_EVERY_MS = 500;

/** The oldest copy that is kept, in milliseconds. */
const OLDEST_COPY_MS = 10_000;

interface DatedCopy {
  readonly at: number;
  readonly copy: StoreBackup;
}

/** Makes and keeps copies of a store. */
export class StoreCopies {
  private copies: readonly DatedCopy[] = [];
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly store: StandInStore) {
    this.timer = setInterval(() => this.make(), COPY_EVERY_MS).unref();
    this.make();
  }

  /** The newest copy that is `ageMs` old, or the oldest one there is. */
  find(ageMs: number): StoreBackup {
    const before = performance.now() - ageMs;
    const found = this.copies.findLast(({ at }) => at <= before) ?? this.copies[0];
    return found?.copy ?? this.store.backup();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private make(): void {
    const at = performance.now();
    const kept = this.copies.filter((each) => each.at >= at - OLDEST_COPY_MS);
    this.copies = [...kept, { at, copy: this.store.backup() }];
  }
}
