/**
 * What is remembered for a return of the store from a copy that is some seconds old. The copy lacks what was written
 * after it and brings back what had changed since; operators and replicas write theirs again within seconds, gateways
 * their own entries. Until then what this gateway knows better holds.
 */
import type { GatewayBounds } from '../settings.js';
import type { CollectionName } from '../store/collection.js';
import type { Stored } from '../store/store-objects.js';

/**
 * Replicas that live and reach the store are in it again within about two seconds of its return, and operators write
 * theirs as soon; in milliseconds.
 */
const REWRITE_MS = 2_000;

/**
 * Gateways that are out of touch write their entries later, in milliseconds: one that is forgotten too early has its share
 * of the budgets given to others while it still uses it.
 */
const GATEWAY_REWRITE_MS = 10_000;

/** Entries of replicas that have ended lapse after so many heartbeats without a write. */
const EXPIRY_HEARTBEATS = 3;

/** Time between two heartbeats of a replica where the settings do not tell it, in milliseconds. */
const DEFAULT_HEARTBEAT_MS = 2_000;

/** Copies are up to 10 s old, and the store is away for some seconds before it returns; in milliseconds. */
const RETENTION_MS = 30_000;

/**
 * An object of which the copy holds something else than this gateway knows. `missing`: the copy lacks it; it is known on.
 * `older`: the copy has it as it was before, which is not taken. Both until the time `until`, when what the store holds is
 * taken.
 */
export type UnconfirmedObject =
  | { readonly type: 'missing'; readonly until: number }
  | { readonly type: 'older'; readonly until: number; readonly stored: Stored<unknown> };

/** What has gone lately: a copy may bring it back. */
export interface Departure {
  readonly at: number;
  /** When the replica started, in milliseconds since 1970; absent where its entry did not tell it. */
  readonly bornAt?: number;
}

/** A return of which not all collections have been read since. */
export interface OngoingRestore {
  readonly previousEra: number;
  /** Objects that the copy lacks and that are known on, by collection. */
  readonly missing: Map<CollectionName, number>;
  /** Objects that the copy brings back and that are not taken, by collection. */
  readonly older: Map<CollectionName, number>;
}

/** All that is remembered for returns. */
export interface RestoreState {
  readonly unconfirmed: Readonly<Record<CollectionName, Map<string, UnconfirmedObject>>>;
  readonly departedReplicas: Map<string, Departure>;
  readonly reopenedZones: Map<string, Departure>;
  /** When this gateway, or one that told it, first knew that the store has returned; long ago where it has not. */
  eraSince: number;
  ongoing: OngoingRestore | undefined;
}

/** Nothing is remembered. */
export const createRestoreState = (): RestoreState => ({
  unconfirmed: {
    configuration: new Map(),
    replicas: new Map(),
    gateways: new Map(),
    evacuations: new Map(),
  },
  departedReplicas: new Map(),
  reopenedZones: new Map(),
  eraSince: Number.NEGATIVE_INFINITY,
  ongoing: undefined,
});

/** Whether the store has returned so lately that a copy may have brought something back. */
export const isRestoreRecent = ({ eraSince }: RestoreState, at: number): boolean =>
  at < eraSince + RETENTION_MS;

/** Until when an object that the copy lacks is known on. */
export const awaitedUntil = ({ eraSince }: RestoreState, collection: CollectionName): number =>
  eraSince + (collection === 'gateways' ? GATEWAY_REWRITE_MS : REWRITE_MS);

/** Until when an object that the copy brings back is not taken. */
export const withheldUntil = (
  returns: RestoreState,
  collection: CollectionName,
  { replicaHeartbeatMs = DEFAULT_HEARTBEAT_MS }: GatewayBounds,
): number => {
  const expiryMs = EXPIRY_HEARTBEATS * replicaHeartbeatMs;
  return collection === 'replicas'
    ? returns.eraSince + REWRITE_MS + expiryMs
    : awaitedUntil(returns, collection);
};

/**
 * Gateways read again what still stands at different times within this span, in milliseconds: a reader sends each some
 * 100 KB. Orders about zones must be in force in time, and are few.
 */
const REREAD_SPREAD_MS = 1_500;

/** By how much the times may differ at which gateways no longer withhold what a copy has brought back. */
export const withheldSpreadMs = (collection: CollectionName): number =>
  collection === 'evacuations' ? 0 : REREAD_SPREAD_MS;

/** Forgets what departed too long ago for a copy to bring it back. */
export const removeExpiredDepartures = (
  { departedReplicas, reopenedZones }: RestoreState,
  at: number,
): void => {
  for (const departed of [departedReplicas, reopenedZones]) {
    for (const [name, { at: departedAt }] of departed) {
      if (departedAt >= at - RETENTION_MS) {
        break;
      }
      departed.delete(name);
    }
  }
};
