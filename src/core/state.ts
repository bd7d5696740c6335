/** The state of a core: one slice per concern, updated in place by the reducer only. */
import type { NodeIdentity, PeerAddress } from '../protocol/node-address.js';
import { type AdmissionState, createAdmissionState } from './admission/state.js';
import { type ConfigurationState, createConfigurationState } from './configuration/state.js';
import { createEditingState, type EditingState } from './editing/state.js';
import { type Counters, createCounters } from './counters.js';
import { createKeepersState, type KeepersState } from './keepers/state.js';
import { type MembershipState, createMembershipState } from './membership/state.js';
import { type OnceState, createOnceState } from './once/state.js';
import { DEFAULT_QUERY_POLICY, type QueryPolicy } from './query/query-policy.js';
import { type QueryState, createQueryState } from './query/state.js';
import { createRandom, type Random } from './random.js';
import { type ReplicaState, createReplicaState } from './replica/state.js';

/** The lifecycle phase; the node accepts new work while it is serving. */
export type LifecyclePhase = 'starting' | 'serving' | 'stopping' | 'ended';

/** The complete state of a node's core. */
export interface CoreState {
  readonly self: NodeIdentity;
  /** Addresses to contact while no member is known. */
  readonly seeds: readonly PeerAddress[];
  readonly random: Random;
  readonly counters: Counters;
  phase: LifecyclePhase;
  /** When a stopping node last checked whether its work is finished, on its monotonic clock. */
  stopCheckedAt: number;
  readonly query: QueryState;
  readonly replica: ReplicaState;
  readonly admission: AdmissionState;
  readonly keepers: KeepersState;
  readonly once: OnceState;
  readonly membership: MembershipState;
  readonly configuration: ConfigurationState;
  readonly editing: EditingState;
}

/** Options for creating the state of a core. */
export interface CoreOptions {
  readonly self: NodeIdentity;
  readonly seeds: readonly PeerAddress[];
  /** Seed of the random generator; any 32-bit integer. */
  readonly seed: number;
  /** Query policy settings that differ from the defaults. */
  readonly policy?: Partial<QueryPolicy>;
}

/** Creates the initial state of a node, which knows only itself and its seeds. */
export const createCoreState = (options: CoreOptions): CoreState => ({
  self: options.self,
  seeds: options.seeds,
  random: createRandom(options.seed),
  counters: createCounters(),
  phase: 'starting',
  stopCheckedAt: 0,
  query: createQueryState(options.self, { ...DEFAULT_QUERY_POLICY, ...options.policy }),
  replica: createReplicaState(),
  admission: createAdmissionState(),
  keepers: createKeepersState(),
  once: createOnceState(),
  membership: createMembershipState(options.self),
  configuration: createConfigurationState(),
  editing: createEditingState(),
});
