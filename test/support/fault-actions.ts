/** Faults of nodes and zones as fast-check actions, and their application to a simulation. */
import fc from 'fast-check';
import type { Simulation } from '../../src/simulation/simulation.js';

/** A fault or its end; `node` and `zone` are taken modulo the number of nodes and zones. */
export type FaultAction =
  | { readonly type: 'crash' | 'restart' | 'bounce' | 'pause' | 'wake'; readonly node: number }
  | { readonly type: 'cut' | 'heal'; readonly zone: number }
  | { readonly type: 'advance'; readonly ms: number };

/** Time for a restarted node to find its peers and obtain the configuration, in milliseconds. */
const BOUNCE_MS = 3_000;

const index = fc.nat({ max: 11 });

/** Any fault or an advance of virtual time; two of the five alternatives are advances. */
export const faultAction: fc.Arbitrary<FaultAction> = fc.oneof(
  fc.record({ type: fc.constantFrom('crash' as const, 'restart', 'pause', 'wake'), node: index }),
  fc.record({ type: fc.constant('bounce' as const), node: index }),
  fc.record({ type: fc.constantFrom('cut' as const, 'heal'), zone: index }),
  fc.record({ type: fc.constant('advance' as const), ms: fc.constantFrom(1, 2, 50, 400, 3_000) }),
  fc.record({ type: fc.constant('advance' as const), ms: fc.constantFrom(5, 20, 1_000, 9_000) }),
);

const changeProcess = (simulation: Simulation, type: string, name: string): void => {
  const node = simulation.node(name);
  switch (type) {
    case 'crash':
      node.crash();
      return;
    case 'restart':
      node.start();
      return;
    case 'bounce':
      node.crash();
      node.start();
      simulation.runFor(BOUNCE_MS);
      return;
    case 'pause':
      node.pause();
      return;
    default:
      node.wake();
  }
};

const changeCut = (
  simulation: Simulation,
  zones: readonly string[],
  zone: string,
  cut: boolean,
) => {
  const { reachability } = simulation.network;
  for (const other of zones) {
    if (other !== zone) {
      (cut ? reachability.cutZones : reachability.healZones).call(reachability, zone, other);
    }
  }
};

/** Applies one fault to a simulation. */
export const applyFault = (
  simulation: Simulation,
  action: FaultAction,
  nodes: readonly string[],
  zones: readonly string[],
): void => {
  switch (action.type) {
    case 'advance':
      simulation.runFor(action.ms);
      return;
    case 'cut':
    case 'heal':
      changeCut(
        simulation,
        zones,
        zones[action.zone % zones.length] as string,
        action.type === 'cut',
      );
      return;
    default:
      changeProcess(simulation, action.type, nodes[action.node % nodes.length] as string);
  }
};
