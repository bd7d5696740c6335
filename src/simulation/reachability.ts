/** Tracks which parts of the virtual network are cut off from each other. */
import { zonePairKey } from './network-conditions.js';
import type { DisturbanceTracker } from './disturbance-tracker.js';

/** A process and its zone. */
export interface NetworkPlace {
  readonly name: string;
  readonly zone: string;
}

/** Network cuts in effect; each applies in both directions. */
export class Reachability {
  private readonly cutZonePairs = new Set<string>();
  private readonly isolated = new Set<string>();

  constructor(private readonly disturbances?: DisturbanceTracker) {}

  /** Cuts two zones off from each other. */
  cutZones(a: string, b: string): void {
    this.cutZonePairs.add(zonePairKey(a, b));
    this.disturbances?.begin(`cut ${zonePairKey(a, b)}`);
  }

  /** Heals the cut between two zones. */
  healZones(a: string, b: string): void {
    this.cutZonePairs.delete(zonePairKey(a, b));
    this.disturbances?.end(`cut ${zonePairKey(a, b)}`);
  }

  /** Cuts one process off from all others. */
  isolate(name: string): void {
    this.isolated.add(name);
    this.disturbances?.begin(`isolated ${name}`);
  }

  /** Ends the isolation of a process. */
  endIsolation(name: string): void {
    this.isolated.delete(name);
    this.disturbances?.end(`isolated ${name}`);
  }

  /** Heals all cuts. */
  healAll(): void {
    for (const pair of this.cutZonePairs) {
      this.disturbances?.end(`cut ${pair}`);
    }
    for (const name of this.isolated) {
      this.disturbances?.end(`isolated ${name}`);
    }
    this.cutZonePairs.clear();
    this.isolated.clear();
  }

  /** Whether messages between the two processes are currently lost. */
  isCut(a: NetworkPlace, b: NetworkPlace): boolean {
    if (this.isolated.size > 0 && (this.isolated.has(a.name) || this.isolated.has(b.name))) {
      return a.name !== b.name;
    }
    return this.cutZonePairs.size > 0 && this.cutZonePairs.has(zonePairKey(a.zone, b.zone));
  }
}
