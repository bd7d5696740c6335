/** State of the scheduling of attempts: the queues of this feeder, and the waits that other feeders report. */
import type { GatewayConfiguration } from '../model/route.js';
import type { ClassRank } from './class-rank.js';
import type { FeederWaits } from './feeder-waits.js';
import type { WaitingQueue } from './waiting-queue.js';

/** A gather that was refused for lack of room. */
export interface RoomRefusal {
  readonly at: number;
  readonly shards: readonly string[];
}

/** The state of scheduling; it is empty while no attempt has to wait. */
export interface SchedulingState {
  /** Queues of the shards at which attempts have waited. */
  readonly queues: Map<string, WaitingQueue>;
  /** Number of waiting attempts at all shards. */
  waiting: number;
  /** Shards with waiting attempts whose room may have changed in this step. */
  readonly changed: Set<string>;
  /** Whether the timer that checks the queues is set. */
  isTimerSet: boolean;
  /** Recent waits reported by feeders, by the feeder's name. */
  readonly feederWaits: Map<string, FeederWaits>;
  /** Number of gathers of each class that lacked room, including those that were sent all the same. */
  readonly lacks: Map<ClassRank, number>;
  /** The last refusal of each class. */
  readonly refusals: Map<ClassRank, RoomRefusal>;
  /** Whether the configuration in force distinguishes classes; undefined before the first use. */
  classes:
    { readonly configuration: GatewayConfiguration; readonly areDifferent: boolean } | undefined;
}

/** Creates the state of a gateway without waiting attempts. */
export const createSchedulingState = (): SchedulingState => ({
  queues: new Map(),
  waiting: 0,
  changed: new Set(),
  isTimerSet: false,
  feederWaits: new Map(),
  lacks: new Map(),
  refusals: new Map(),
  classes: undefined,
});
