/** Periodic backups of the store, as the platform makes them. */
import type { StandInStore, StoreBackup } from '../../test/platform/stand-in-store.js';

const BACKUP_INTERVAL_MS = 500;

/** Maximum age of a backup that is kept, in milliseconds; faults restore none that are older. */
const MAX_BACKUP_AGE_MS = 10_000;

interface DatedBackup {
  readonly at: number;
  readonly backup: StoreBackup;
}

/** Creates and keeps backups of a store. */
export class StoreBackups {
  private backups: readonly DatedBackup[] = [];
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly store: StandInStore) {
    this.timer = setInterval(() => this.createBackup(), BACKUP_INTERVAL_MS).unref();
    this.createBackup();
  }

  /** Returns the newest backup that is at least `ageMs` milliseconds old, or else the oldest one. */
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
