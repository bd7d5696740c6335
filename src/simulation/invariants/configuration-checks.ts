/**
 * Checks of the configuration: the revisions that a node holds never decrease, and every accepted
 * write is in force on each serving node within a time bound.
 */
import type { StoreObject } from '../../catalog/store-object.js';
import type { Simulation } from '../simulation.js';
import type { StepRecord } from '../observer.js';
import type { ReportViolation } from './violation.js';

/** Time until an accepted write must be in force on every connected node, in milliseconds. */
const IN_FORCE_BOUND_MS = 3_000;

/** Time within which the tier must recover after the last disturbance, in milliseconds. */
const RECOVERY_BOUND_MS = 5_000;

interface ProcessConfiguration {
  readonly process: number;
  readonly revisions: Map<string, number>;
  revision: number;
  inForce: unknown;
}

/** Tracks the configuration that each process holds. */
export class ConfigurationChecks {
  private readonly held = new Map<string, ProcessConfiguration>();
  private readonly writes = new Map<number, StoreObject>();
  private readonly overdue = new Set<string>();
  private rolledBack = false;

  constructor(
    private readonly simulation: Simulation,
    private readonly report: ReportViolation,
  ) {}

  /** Handles a write that the store has accepted. */
  handleWrite(object: StoreObject): void {
    if (this.writes.has(object.revision)) {
      this.rolledBack = true;
    }
    this.writes.set(object.revision, object);
    const writtenAt = this.simulation.now;
    this.simulation.after(IN_FORCE_BOUND_MS, () => {
      this.checkInForce(object, writtenAt);
    });
  }

  /** Handles a step of a node. */
  handleStep({ node, state }: StepRecord): void {
    const process = this.simulation.node(node).processNumber;
    const held = this.findOrCreateHeld(node, process);
    const { configuration } = state;
    if (configuration.revision < held.revision) {
      this.report(
        'configuration-in-force-never-reverts',
        `${node} went from revision ${held.revision} back to ${configuration.revision}`,
      );
    }
    held.revision = configuration.revision;
    if (held.inForce !== configuration.inForce) {
      held.inForce = configuration.inForce;
      this.checkObjects(node, held, configuration.objects.values());
    }
  }

  private findOrCreateHeld(node: string, process: number): ProcessConfiguration {
    const found = this.held.get(node);
    if (found?.process === process) {
      return found;
    }
    const created: ProcessConfiguration = {
      process,
      revisions: new Map(),
      revision: 0,
      inForce: undefined,
    };
    this.held.set(node, created);
    return created;
  }

  private checkObjects(
    node: string,
    held: ProcessConfiguration,
    objects: Iterable<StoreObject>,
  ): void {
    for (const object of objects) {
      const before = held.revisions.get(object.name) ?? 0;
      if (object.revision < before) {
        this.report(
          'configuration-in-force-never-reverts',
          `${node} replaced revision ${before} of ${object.name} by ${object.revision}`,
        );
      }
      held.revisions.set(object.name, object.revision);
      this.checkContent(node, object);
    }
  }

  private checkContent(node: string, object: StoreObject): void {
    const written = this.writes.get(object.revision);
    const isSame = written?.name === object.name && written.version === object.version;
    if (!this.rolledBack && !isSame) {
      this.report(
        'configuration-in-force-never-reverts',
        `${node} holds ${object.name} at revision ${object.revision}, which the store never wrote`,
      );
    }
  }

  /** Checks a write after the time bound, or later if the tier was disturbed. */
  private checkInForce(object: StoreObject, writtenAt: number): void {
    const { disturbances, now, nodes } = this.simulation;
    if (this.rolledBack) {
      return;
    }
    const since = disturbances.undisturbedSince ?? now;
    const from = since >= writtenAt ? since + RECOVERY_BOUND_MS : writtenAt;
    if (now - from < IN_FORCE_BOUND_MS) {
      this.simulation.after(IN_FORCE_BOUND_MS - (now - from), () => {
        this.checkInForce(object, writtenAt);
      });
      return;
    }
    for (const node of nodes.values()) {
      const { state } = node;
      const isSettled = now - node.startedAt >= IN_FORCE_BOUND_MS;
      if (state === undefined || !isSettled || state.phase !== 'serving') {
        continue;
      }
      if (state.configuration.revision < object.revision) {
        this.reportOverdue(node.name, object, now - from);
      }
    }
  }

  private reportOverdue(node: string, object: StoreObject, sinceMs: number): void {
    const key = `${node} ${object.revision}`;
    if (!this.overdue.has(key)) {
      this.overdue.add(key);
      this.report(
        'configuration-in-force-never-reverts',
        `${node} does not hold revision ${object.revision} of ${object.name} after ${sinceMs} ms`,
      );
    }
  }
}
