/** The platform's list of machines, which shows changes with a delay. */
import type { Machine } from '../../catalog/store-object.js';

/** Removes a machine from the list. */
export interface MachineGone {
  readonly id: string;
  readonly state: 'gone';
}

/** Adds, changes or removes a machine. */
export type MachineChange = Machine | MachineGone;

interface DatedChange {
  readonly at: number;
  readonly change: MachineChange;
}

/** The visible machines, by id, and the changes that are not visible yet. */
export class MachineList {
  private readonly visible = new Map<string, Machine>();
  private pending: DatedChange[] = [];

  /** Records a change made at `at`. */
  change(at: number, change: MachineChange): void {
    this.pending.push({ at, change });
  }

  /** Returns the list that is visible at `at` with a delay of `lagMs`. */
  list(at: number, lagMs: number): Machine[] {
    const hidden = this.pending.filter((dated) => dated.at + lagMs > at);
    for (const dated of this.pending.filter((dated) => dated.at + lagMs <= at)) {
      this.show(dated.change);
    }
    this.pending = hidden;
    return [...this.visible.values()];
  }

  private show(change: MachineChange): void {
    if (change.state === 'gone') {
      this.visible.delete(change.id);
    } else {
      this.visible.set(change.id, change);
    }
  }
}
