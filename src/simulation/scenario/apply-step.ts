/** Applies the steps of a scenario to a simulated tier. */
import { match } from 'ts-pattern';
import type { Deployment } from '../../deployments/deployment.js';
import type {
  DrainStep,
  NodeAction,
  RollOutStep,
  ScenarioStep,
  ZoneCutStep,
} from '../../experiment/scenario.js';
import { addSnapshot, loadSnapshots, publishStatus, retireSnapshot } from '../history/roll-out.js';
import type { SimulatedNode } from '../simulated-node.js';
import type { Simulation } from '../simulation.js';
import type { ScenarioEdits } from './scenario-edits.js';
import type { SimulatedLoad } from './simulated-load.js';
import { findNodes, findReplicas } from './targets.js';

/** The simulation, deployments, loads and edits that the steps of a scenario act on. */
export interface ScenarioContext {
  readonly simulation: Simulation;
  readonly deployments: readonly Deployment[];
  readonly loads: ReadonlyMap<string, SimulatedLoad>;
  readonly edits: ScenarioEdits;
  /** Called when a replica starts draining. */
  readonly onDrain: (replica: string) => void;
}

const changeNode = (node: SimulatedNode, action: NodeAction): void => {
  switch (action) {
    case 'kill':
      node.crash();
      return;
    case 'stop':
      node.requestStop();
      return;
    case 'start':
      node.start();
      return;
    case 'pause':
      node.pause();
      return;
    case 'resume':
      node.wake();
  }
};

const drain = (context: ScenarioContext, { target, publishAfterMs }: DrainStep): void => {
  for (const replica of findReplicas(context.simulation, target)) {
    replica.setFaults({ lifecycle: 'leaving' });
    context.onDrain(replica.options.status.replica);
    context.simulation.after(publishAfterMs, () => {
      publishStatus(context.simulation, replica);
    });
  }
};

const cutZones = ({ simulation, deployments }: ScenarioContext, { zones }: ZoneCutStep): void => {
  const others = deployments
    .flatMap((deployment) => deployment.zones)
    .filter((zone) => !zones.includes(zone));
  for (const zone of zones) {
    for (const other of others) {
      simulation.network.reachability.cutZones(zone, other);
    }
  }
};

/** Adds a snapshot, loads it into the replicas one by one, then retires the previous one. */
const rollOut = ({ simulation, deployments }: ScenarioContext, step: RollOutStep): void => {
  const deployment = deployments.find(({ partner }) => partner === step.partner);
  if (deployment === undefined) {
    return;
  }
  const replicas = findReplicas(simulation, { partner: step.partner });
  const spacingMs = step.overMs / Math.max(1, replicas.length);
  addSnapshot(simulation, deployment, step.addedShards);
  replicas.forEach((replica, index) => {
    simulation.after((index + 1) * spacingMs, () => {
      loadSnapshots(simulation, replica);
    });
  });
  simulation.after(2 * step.overMs, () => {
    retireSnapshot(simulation, deployment);
    replicas.forEach((replica) => {
      publishStatus(simulation, replica);
    });
  });
};

/** Applies one step at the current virtual time. */
export const applyStep = (context: ScenarioContext, scenarioStep: ScenarioStep): void => {
  const { simulation, loads, edits } = context;
  match(scenarioStep)
    .with({ kind: 'replica-fault' }, ({ target, change }) => {
      for (const replica of findReplicas(simulation, target)) {
        replica.setFaults(change);
      }
    })
    .with({ kind: 'drain' }, (step) => {
      drain(context, step);
    })
    .with({ kind: 'store-fault' }, ({ change }) => {
      simulation.store.setFaults(change);
    })
    .with({ kind: 'node-fault' }, ({ target, action }) => {
      for (const node of findNodes(simulation, target)) {
        changeNode(node, action);
      }
    })
    .with({ kind: 'zone-cut' }, (step) => {
      cutZones(context, step);
    })
    .with({ kind: 'zone-heal' }, () => {
      simulation.network.reachability.healAll();
    })
    .with({ kind: 'roll-out' }, (step) => {
      rollOut(context, step);
    })
    .with({ kind: 'load-factor' }, ({ partner, factor }) => {
      const load = loads.get(partner);
      if (load !== undefined) {
        load.factor = factor;
      }
    })
    .with({ kind: 'edit' }, (step) => {
      edits.send(step);
    })
    .exhaustive();
};
