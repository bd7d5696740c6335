/** Applies the steps of a scenario to a tier on real sockets. */
import { match } from 'ts-pattern';
import type { LocalTier } from '../../demo/local-tier.js';
import type { Deployment } from '../../deployments/deployment.js';
import { buildLayout } from '../../deployments/initial-objects.js';
import type { FleetReplica } from '../../standins/replica-fleet.js';
import type {
  DrainStep,
  NodeFaultStep,
  ReplicaFaultStep,
  ReplicaTarget,
  RollOutStep,
  Scenario,
  ScenarioStep,
} from '../scenario.js';
import type { DrainLag, EditInForce } from '../scenario-result.js';
import { measureEditPropagation } from './measure-edit.js';
import { selectByTarget } from '../select-by-target.js';
import { publishedSnapshots, publishSnapshots, publishStatus } from './publish.js';

/** Steps that need network partitions, which one process on loopback cannot create. */
const SIMULATION_ONLY_STEPS: readonly string[] = ['zone-cut', 'zone-heal'];
const SIMULATION_ONLY_ACTIONS: readonly string[] = ['pause', 'resume'];

/** Lists the parts of a scenario that need the simulation; empty if it can run on real sockets. */
export const listSimulationOnlySteps = ({ faults, sharedGroup }: Scenario): string[] => [
  ...(sharedGroup === undefined ? [] : ['sharedGroup']),
  ...faults.flatMap((fault) => {
    if (fault.kind === 'node-fault') {
      return SIMULATION_ONLY_ACTIONS.includes(fault.action) ? [fault.action] : [];
    }
    return SIMULATION_ONLY_STEPS.includes(fault.kind) ? [fault.kind] : [];
  }),
];

interface DrainedReplica {
  readonly replica: FleetReplica;
  readonly from: number;
}

/** Applies steps to one tier and records what experiments measure about them. */
export class RealStepRunner {
  /** Factor on the arrival rate of each partner; 1 when absent. */
  readonly loadFactors = new Map<string, number>();
  private readonly drainedReplicas: DrainedReplica[] = [];
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly pending = new Set<Promise<unknown>>();
  private readonly edits: Promise<EditInForce>[] = [];

  constructor(
    private readonly tier: LocalTier,
    private readonly deployments: readonly Deployment[],
  ) {}

  /** Runs `action` after `delayMs` milliseconds, unless `cancelAndWait` is called before. */
  after(delayMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, delayMs);
    this.timers.add(timer);
  }

  /**
   * Applies one step now.
   *
   * @throws Error if the step needs the simulation or names a partner that is not deployed
   */
  apply(step: ScenarioStep): void {
    match(step)
      .with({ kind: 'replica-fault' }, (fault) => this.changeReplicas(fault))
      .with({ kind: 'drain' }, (drain) => this.drain(drain))
      .with({ kind: 'store-fault' }, ({ change }) => this.tier.platform.setFaults(change))
      .with({ kind: 'node-fault' }, (fault) => this.changeNodes(fault))
      .with({ kind: 'roll-out' }, (rollOut) => this.rollOut(rollOut))
      .with({ kind: 'load-factor' }, ({ partner, factor }) => {
        this.loadFactors.set(partner, factor);
      })
      .with({ kind: 'edit' }, (edit) => {
        const deployment = this.deploymentOf(edit.partner);
        const name = `scenario-edit-${this.edits.length + 1}`;
        this.edits.push(measureEditPropagation(this.tier, deployment, edit, name));
      })
      .with({ kind: 'zone-cut' }, { kind: 'zone-heal' }, ({ kind }) => {
        throw new Error(`${kind} needs the simulation`);
      })
      .exhaustive();
  }

  /** Cancels all scheduled actions; resolves when the changes in progress have ended. */
  async cancelAndWait(): Promise<void> {
    for (const timer of this.timers) {
      clearTimeout(timer);
    }
    await Promise.all(this.pending);
  }

  /** Waits for all edits; resolves to the time that each took until it was in force. */
  waitForEdits(): Promise<EditInForce[]> {
    return Promise.all(this.edits);
  }

  /** Returns how long each drained replica still received work. */
  listDrainLags(): DrainLag[] {
    return this.drainedReplicas.map(({ replica, from }) => ({
      replica: replica.placed.replica,
      lastWorkMs: Math.max(0, replica.server.model.lastRequestAt - from),
    }));
  }

  private select(target: ReplicaTarget): FleetReplica[] {
    return selectByTarget(this.tier.fleet.replicas.values(), ({ placed }) => placed, target);
  }

  private deploymentOf(partner: string): Deployment {
    const deployment = this.deployments.find((candidate) => candidate.partner === partner);
    if (deployment === undefined) {
      throw new Error(`partner ${partner} is not deployed`);
    }
    return deployment;
  }

  private track(work: Promise<unknown>): void {
    const kept = work.finally(() => this.pending.delete(kept));
    this.pending.add(kept);
  }

  private changeReplicas({ target, change }: ReplicaFaultStep): void {
    for (const { server } of this.select(target)) {
      this.track(server.setFaults(change));
    }
  }

  private drain({ target, publishAfterMs }: DrainStep): void {
    for (const replica of this.select(target)) {
      this.track(replica.server.setFaults({ lifecycle: 'leaving' }));
      this.drainedReplicas.push({ replica, from: performance.now() });
      this.after(publishAfterMs, () => publishStatus(this.tier, replica));
    }
  }

  private changeNodes({ target, action }: NodeFaultStep): void {
    const names = this.tier.places
      .filter(({ node }) => target.node === undefined || target.node === node)
      .filter(({ zone }) => target.zone === undefined || target.zone === zone)
      .map(({ node }) => node);
    for (const name of names) {
      if (action === 'start') {
        this.track(this.tier.startNode(name));
      } else if (action === 'kill' || action === 'stop') {
        this.track(this.tier.endNode(name, action));
      } else {
        throw new Error(`${action} needs the simulation`);
      }
    }
  }

  /** Makes replicas load the next snapshot one after the other; then drops the previous ones. */
  private rollOut(step: RollOutStep): void {
    const deployment = this.deploymentOf(step.partner);
    const replicas = this.select({ partner: step.partner });
    const before = publishedSnapshots(this.tier, deployment);
    const next = buildLayout(deployment, step.version, step.addedShards);
    publishSnapshots(this.tier, deployment, [...before, next]);
    replicas.forEach((replica, index) => {
      this.after(((index + 1) * step.overMs) / replicas.length, () => {
        this.load(replica, step);
      });
    });
    this.after(2 * step.overMs, () => {
      publishSnapshots(this.tier, deployment, [next]);
      replicas.forEach((replica) => this.dropOldSnapshots(replica, step));
    });
  }

  private load(replica: FleetReplica, step: RollOutStep): void {
    const { snapshots } = replica.server.model.currentFaults;
    const shardCount = replica.placed.group.shardsPerService + step.addedShards;
    const loaded = [...snapshots, { version: step.version, shardCount }];
    this.track(replica.server.setFaults({ snapshots: loaded }));
    publishStatus(this.tier, replica);
  }

  private dropOldSnapshots(replica: FleetReplica, step: RollOutStep): void {
    const { snapshots } = replica.server.model.currentFaults;
    const kept = snapshots.filter(({ version }) => version === step.version);
    this.track(replica.server.setFaults({ snapshots: kept }));
    publishStatus(this.tier, replica);
  }
}
