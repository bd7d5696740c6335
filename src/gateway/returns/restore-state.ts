/**
 * State for restores of the store from a backup that is some seconds old. The backup lacks objects written after it,
 * and brings back objects as they were before later changes. Operators and replicas write their objects again within
 * seconds, and gateways write their own entries. Until then, this gateway's newer knowledge takes precedence.
 */
import type { GatewayBounds } from '../settings.js';
import type { CollectionName } from '../store/collection.js';
import type { Stored } from '../store/store-objects.js';

/**
 * Time, in milliseconds, within which live replicas that reach the store are in it again after a restore: about two
 * seconds. Operators write their objects again as soon.
 */
const REWRITE_MS = 2_000;

/**
 * The same for gateways, in milliseconds: those that are cut off write their entries later. The share of the budgets of
 * a gateway that is removed too early goes to others while it still uses it.
 */
const GATEWAY_REWRITE_MS = 10_000;

/** Entries of dead replicas expire after this many heartbeats without a write. */
const EXPIRY_HEARTBEATS = 3;

/** Interval between heartbeats of a replica where the settings name none, in milliseconds. */
const DEFAULT_HEARTBEAT_MS = 2_000;

/**
 * Time for which departures and a restore are remembered, in milliseconds: backups are up to 10 s old, and the store is
 * unavailable for some seconds before it is restored.
 */
const RETENTION_MS = 30_000;

/**
 * An object that differs between the backup and this gateway. `missing`: the backup lacks it, and the gateway keeps it.
 * `older`: the backup holds an earlier state of it, which the gateway does not apply. From `until` on, the store's
 * content is applied.
 */
export type UnconfirmedObject =
  | { readonly type: 'missing'; readonly until: number }
  | { readonly type: 'older'; readonly until: number; readonly stored: Stored<unknown> };

/** A recent departure of an object, which a backup may bring back. */
export interface Departure {
  /** When it departed, in milliseconds on this gateway's clock. */
  readonly at: number;
  /** When the replica started, in milliseconds since 1970; absent where its entry did not say. */
  readonly bornAt?: number;
}

/** A restore since which not all collections have been read yet. */
export interface OngoingRestore {
  readonly previousEra: number;
  /** Number of objects that the backup lacks and that are kept, by collection. */
  readonly missing: Map<CollectionName, number>;
  /** Number of objects that the backup brings back and that are not applied, by collection. */
  readonly older: Map<CollectionName, number>;
}

/** Unconfirmed objects and recent departures, for restores of the store. */
export interface RestoreState {
  readonly unconfirmed: Readonly<Record<CollectionName, Map<string, UnconfirmedObject>>>;
  readonly departedReplicas: Map<string, Departure>;
  readonly reopenedZones: Map<string, Departure>;
  /**
   * When this gateway, or one that it follows, first learnt of the restore, in milliseconds on this gateway's clock;
   * minus infinity where there was none.
   */
  eraSince: number;
  ongoing: OngoingRestore | undefined;
}

/** Creates the state of a gateway that knows of no restore. */
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

/** Whether the store was restored so recently that the backup may still bring objects back. */
export const isRestoreRecent = ({ eraSince }: RestoreState, at: number): boolean =>
  at < eraSince + RETENTION_MS;

/** Until when an object that the backup lacks is kept. */
export const missingKeptUntil = ({ eraSince }: RestoreState, collection: CollectionName): number =>
  eraSince + (collection === 'gateways' ? GATEWAY_REWRITE_MS : REWRITE_MS);

/** Until when an object that the backup brings back is not applied. */
export const withheldUntil = (
  restoreState: RestoreState,
  collection: CollectionName,
  { replicaHeartbeatMs = DEFAULT_HEARTBEAT_MS }: GatewayBounds,
): number => {
  const expiryMs = EXPIRY_HEARTBEATS * replicaHeartbeatMs;
  return collection === 'replicas'
    ? restoreState.eraSince + REWRITE_MS + expiryMs
    : missingKeptUntil(restoreState, collection);
};

/**
 * Gateways read the remaining withheld objects again at different times within this span, in milliseconds, since a
 * reader sends each about 100 KB. Evacuations are exempt: they are few, and must take effect in time.
 */
const REREAD_SPREAD_MS = 1_500;

/** The span, in milliseconds, over which gateways stop withholding objects that a backup has brought back. */
export const withheldSpreadMs = (collection: CollectionName): number =>
  collection === 'evacuations' ? 0 : REREAD_SPREAD_MS;

/** Removes departures that are too old for a backup to bring the objects back. */
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
