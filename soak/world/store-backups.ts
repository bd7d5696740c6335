/** Copies of the store, as its platform makes them: one each half second, kept for as long as one may return. */
import type { StandInStore, StoreBackup } from '../../test/platform/stand-in-store.js';

const BACKUP_INTERVAL_MS = 500;

/** The oldest copy that is kept, in milliseconds. */
const MAX_BACKUP_AGE_MS = 10_000;

interface DatedBackup {
  readonly at: number;
  readonly backup: StoreBackup;
}

/** Makes and keeps copies of a store. */
export class StoreBackups {
  private backups: readonly DatedBackup[] = [];
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly store: StandInStore) {
    this.timer = setInterval(() => this.createBackup(), BACKUP_INTERVAL_MS).unref();
    this.createBackup();
  }

  /** The newest copy that is `ageMs` old, or the oldest one there is. */
  find(ageMs: number): StoreBackup {
    const before = performance.now() - ageMs;
    const found = this.backups.findLast(({ at }) => at <= before) ?? this.backups[0];
    return found?.backup ?? this.store.backup();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private createBackup(): void {
    const at = performance.now();
    const kept = this.backups.filter((each) => each.at >= at - MAX_BACKUP_AGE_MS);
    this.backups = [...kept, { at, backup: this.store.backup() }];
  }
}
