/** Polls the revision in force at every node and records each decrease. */
import type { ProcessTier, RigNode } from './process-tier.js';
import { pause } from './pause.js';

const POLL_MS = 100;

/** A decrease of the revision in force at a serving node. */
export interface RevisionRegression {
  readonly node: string;
  readonly before: number;
  readonly after: number;
}

/** Watches the nodes of a tier until `stop` is called. */
export class RevisionWatch {
  /** Decreases found; only readings of a serving node count, and its highest revision outlasts restarts. */
  readonly regressions: RevisionRegression[] = [];
  /** Number of status readings of serving nodes; a watch without readings proves nothing. */
  readings = 0;
  private readonly highest = new Map<string, number>();
  private stopped = false;
  private readonly done: Promise<void>;

  /** Starts the watch. */
  constructor(private readonly tier: ProcessTier) {
    this.done = this.poll();
  }

  /** Stops the watch; resolves when the last poll has ended. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.done;
  }

  private async poll(): Promise<void> {
    while (!this.stopped) {
      await Promise.all(this.tier.nodes.map((node) => this.read(node)));
      await pause(POLL_MS);
    }
  }

  private async read(node: RigNode): Promise<void> {
    const status = await this.tier.readStatus(node);
    if (status === undefined || status.phase !== 'serving') {
      return;
    }
    this.readings += 1;
    const before = this.highest.get(node.name) ?? 0;
    if (status.revision < before) {
      this.regressions.push({ node: node.name, before, after: status.revision });
    }
    this.highest.set(node.name, Math.max(before, status.revision));
  }
}
