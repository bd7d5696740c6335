/** Finds the replicas and nodes that a scenario step targets. */
import type { NodeTarget, ReplicaTarget } from '../../experiment/scenario.js';
import { selectByTarget } from '../../experiment/select-by-target.js';
import type { SimulatedNode } from '../simulated-node.js';
import type { SimulatedReplica } from '../simulated-replica.js';
import type { Simulation } from '../simulation.js';

/** Returns the replicas that match `target`. */
export const findReplicas = (simulation: Simulation, target: ReplicaTarget): SimulatedReplica[] =>
  selectByTarget(
    simulation.replicas.values(),
    ({ options: { partner, service, status } }) => ({ partner, service, ...status }),
    target,
  );

/** Returns the nodes that match `target`. */
export const findNodes = (simulation: Simulation, target: NodeTarget): SimulatedNode[] =>
  [...simulation.nodes.values()].filter(
    ({ name, zone }) =>
      (target.node === undefined || target.node === name) &&
      (target.zone === undefined || target.zone === zone),
  );
