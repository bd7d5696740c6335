/** Handle of a node that runs in this process. */
import type { CoreState } from '../core/state.js';

/** The ports that a node has bound: those of the settings, or chosen by the kernel for port 0. */
export interface BoundPorts {
  readonly caller: number;
  /** For both TCP and UDP. */
  readonly peer: number;
  readonly operator: number;
}

/** A started node. */
export interface RunningNode {
  readonly ports: BoundPorts;
  /** The core's state; callers must not change it. */
  readonly state: CoreState;
  /** Resolves when the node has stopped or was killed. */
  readonly ended: Promise<void>;
  /** Graceful stop: refuses new work, finishes running work and closes the node. */
  stop(): Promise<void>;
  /** Abrupt stop: closes all connections at once and finishes no work. */
  kill(): Promise<void>;
}
