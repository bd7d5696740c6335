/** A simulated tier on which the actions of a history are performed. */
import type { Deployment } from '../../deployments/deployment.js';
import { InvariantChecker } from '../invariants/invariant-checker.js';
import type { Violation } from '../invariants/violation.js';
import type { SimulatedReplica } from '../simulated-replica.js';
import { Simulation } from '../simulation.js';
import type { SimulationOptions } from '../simulation-options.js';
import { buildWorld, startNodes, type World } from '../world.js';
import type { Action } from './action.js';
import { HistoryCalls } from './history-calls.js';
import { HistoryEdits } from './history-edits.js';
import { pick } from './pick.js';
import { applyReplicaFault } from './replica-fault.js';
import {
  addSnapshot,
  drainReplica,
  loadSnapshots,
  publishStatus,
  retireSnapshot,
  rollOut,
} from './roll-out.js';
import { type Trap, Traps } from './traps.js';

/** Time before the first action, in which the nodes start serving, in milliseconds. */
const WARM_UP_MS = 4_000;
/** Time that the healed tier runs after the last action, in milliseconds. */
export const SETTLE_MS = 12_000;
type ActionOf<Type extends Action['type']> = Extract<Action, { type: Type }>;
type ProcessActionName = 'crash' | 'restart' | 'pause' | 'wake' | 'stop' | 'nap';
type StoreActionName = 'cut-store' | 'store' | 'roll-back-store';
type BackendActionName =
  | 'replica'
  | 'publish'
  | 'drain'
  | 'roll-out'
  | 'add-snapshot'
  | 'load-snapshots'
  | 'retire-snapshot';

/** A simulated tier with its invariant checks. */
export class Tier {
  readonly simulation: Simulation;
  private readonly checker: InvariantChecker;
  private readonly deployments: readonly Deployment[];
  private readonly calls: HistoryCalls;
  private readonly edits: HistoryEdits;
  private readonly traps = new Traps((trap, node) => {
    this.simulation.after(0, () => {
      this.triggerTrap(trap, node);
    });
  });
  /** The store's revision before the first action. */
  private readonly firstRevision: number;

  constructor(world: World, options: SimulationOptions) {
    this.simulation = new Simulation(options);
    this.checker = new InvariantChecker(this.simulation);
    this.deployments = world.deployments;
    const rows = world.deployments.flatMap((deployment) => deployment.rows);
    const safeRows = rows.filter(({ safeToRepeat }) => safeToRepeat);
    const onceRows = rows.filter(({ safeToRepeat }) => !safeToRepeat);
    const nodeName = (index: number): string => this.nodeName(index);
    this.calls = new HistoryCalls(this.simulation, safeRows, onceRows, nodeName);
    this.edits = new HistoryEdits(this.simulation, [...safeRows, ...onceRows], nodeName);
    buildWorld(this.simulation, world);
    startNodes(this.simulation);
    this.simulation.runFor(WARM_UP_MS);
    this.simulation.observe(this.traps);
    this.firstRevision = this.simulation.store.model.revision;
  }

  /** Violations of the invariants so far. */
  get violations(): readonly Violation[] {
    return this.checker.violations;
  }

  /** Performs an action; only `advance` and `nap` advance virtual time. */
  apply(action: Action): void {
    switch (action.type) {
      case 'advance':
        this.simulation.runFor(action.ms);
        return;
      case 'query':
      case 'book':
        this.calls.send(action);
        return;
      case 'leave':
        this.calls.leave(action);
        return;
      case 'edit':
      case 'resend-edit':
      case 'race-edits':
        this.edits.apply(action);
        return;
      case 'nap':
      case 'crash':
      case 'restart':
      case 'pause':
      case 'wake':
      case 'stop':
        this.changeProcess(action);
        return;
      default:
        this.applyFault(action);
    }
  }

  /**
   * Heals the network and the store, resumes paused nodes, runs for `SETTLE_MS` and reports calls
   * that have not ended.
   */
  settle(): void {
    const { simulation } = this;
    this.traps.disarm();
    this.runTriggeredTraps();
    simulation.network.reachability.healAll();
    simulation.store.setFaults({ down: false, delayMs: 0, loseAnswerShare: 0 });
    for (const node of simulation.nodes.values()) {
      node.wake();
    }
    simulation.runFor(SETTLE_MS);
    for (const problem of this.calls.findOverdue()) {
      this.checker.report('own-answer-only', problem);
    }
  }

  /** Applies the faults of traps that the last action triggered, before the tier is healed. */
  private runTriggeredTraps(): void {
    this.simulation.runFor(0);
  }

  private changeProcess(action: ActionOf<ProcessActionName>): void {
    const target = this.simulation.node(this.nodeName(action.node));
    switch (action.type) {
      case 'crash':
        target.crash();
        return;
      case 'restart':
        target.start();
        return;
      case 'pause':
        target.pause();
        return;
      case 'wake':
        target.wake();
        return;
      case 'stop':
        target.requestStop();
        return;
      case 'nap':
        target.pause();
        this.simulation.runFor(action.ms);
        target.wake();
    }
  }

  private applyFault(
    action: ActionOf<
      'cut-zones' | 'isolate' | 'heal' | 'network' | 'trap' | StoreActionName | BackendActionName
    >,
  ): void {
    const { network } = this.simulation;
    switch (action.type) {
      case 'cut-zones':
        network.reachability.cutZones(this.zone(action.first), this.zone(action.second));
        return;
      case 'isolate':
        network.reachability.isolate(this.nodeName(action.node));
        return;
      case 'heal':
        network.reachability.healAll();
        return;
      case 'network':
        this.setNetwork(action);
        return;
      case 'trap':
        this.traps.arm(action);
        return;
      case 'cut-store':
      case 'store':
      case 'roll-back-store':
        this.changeStore(action);
        return;
      default:
        this.changeBackends(action);
    }
  }

  private changeStore(action: ActionOf<StoreActionName>): void {
    const { network, store } = this.simulation;
    switch (action.type) {
      case 'cut-store':
        network.reachability.cutZones(this.zone(action.zone), 'platform');
        return;
      case 'store':
        store.setFaults({
          down: action.down,
          delayMs: action.delayMs,
          loseAnswerShare: action.loseAnswerShare,
        });
        return;
      case 'roll-back-store':
        store.setFaults({
          rollBackTo: Math.max(this.firstRevision, store.model.revision - action.writes),
        });
    }
  }

  /** Applies the fault of a trap at `node`, where its event occurred, or at the trap's target. */
  private triggerTrap({ fault, target }: Trap, node: string): void {
    const { simulation } = this;
    const { watchers } = simulation.store;
    const reader = watchers[target % Math.max(1, watchers.length)];
    switch (fault) {
      case 'crash':
        simulation.node(node).crash();
        return;
      case 'pause':
        simulation.node(node).pause();
        return;
      case 'stop':
        simulation.node(node).requestStop();
        return;
      case 'isolate':
        simulation.network.reachability.isolate(node);
        return;
      case 'crash-reader':
        reader?.crash();
        return;
      case 'pause-reader':
        reader?.pause();
        return;
      case 'cut-store':
        this.changeStore({ type: 'cut-store', zone: target });
        return;
      case 'store-down':
        simulation.store.setFaults({ down: true });
        return;
      case 'replica-dead':
        applyReplicaFault(this.replica(target), 'dead');
        return;
      case 'replica-leaving':
        applyReplicaFault(this.replica(target), 'leaving');
        return;
      case 'repartition':
        rollOut(simulation, pick(this.deployments, target), { addedShards: 1, overMs: 0 });
    }
  }

  private changeBackends(action: ActionOf<BackendActionName>): void {
    switch (action.type) {
      case 'replica':
        applyReplicaFault(this.replica(action.replica), action.fault);
        return;
      case 'drain':
        drainReplica(this.simulation, this.replica(action.replica), action.publishAfterMs);
        return;
      case 'roll-out':
        rollOut(this.simulation, pick(this.deployments, action.partner), action);
        return;
      case 'publish':
        publishStatus(this.simulation, this.replica(action.replica));
        return;
      case 'add-snapshot':
        addSnapshot(this.simulation, pick(this.deployments, action.partner), action.addedShards);
        return;
      case 'load-snapshots':
        loadSnapshots(this.simulation, this.replica(action.replica));
        return;
      case 'retire-snapshot':
        retireSnapshot(this.simulation, pick(this.deployments, action.partner));
    }
  }

  private setNetwork({ lossShare, duplicateShare, jitterMs }: ActionOf<'network'>): void {
    const { network } = this.simulation;
    const { sameZone, betweenZones } = network.conditions;
    const change = { lossShare, duplicateShare, jitterMs };
    network.conditions = {
      ...network.conditions,
      sameZone: { ...sameZone, ...change },
      betweenZones: { ...betweenZones, ...change },
    };
  }

  private nodeName(index: number): string {
    return pick([...this.simulation.nodes.keys()], index);
  }

  private zone(index: number): string {
    return pick(
      this.deployments.flatMap(({ zones }) => zones),
      index,
    );
  }

  private replica(index: number): SimulatedReplica {
    return pick([...this.simulation.replicas.values()], index);
  }
}
