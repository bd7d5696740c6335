/** State of the tenants' limits at a gateway: as a holder of tokens, and as one that keeps limits. */
import type { RequestReceived } from '../event.js';
import type { PeerRecord } from '../model/peer-record.js';
import type { PeerRequestId } from '../model/peer-request.js';
import type { CallId } from '../model/request.js';
import type { Tenant } from '../model/tenant.js';
import type { ClassRank } from '../scheduling/class-rank.js';
import type { HolderLease } from './holder-lease.js';
import type { OwnedQuota } from './owned-quota.js';
import { OwnerChoice } from './owners.js';
import type { TokenBucket } from './token-bucket.js';

/** A request that waits for a token. */
export interface WaitingCall {
  readonly event: RequestReceived;
  readonly tenant: Tenant;
  readonly rank: ClassRank;
  /** How long each gateway is waited for, in milliseconds. */
  readonly stepMs: number;
  /** Gateways to ask, in this order. */
  readonly candidates: readonly PeerRecord[];
  /** Index of the candidate that is asked next. */
  next: number;
  /** Name of the candidate that was asked last. */
  askedOf: string | undefined;
  /** The gateway that answered last, and the time until it has a token; undefined if none answered. */
  shortOf: { readonly by: string; readonly availableInMs: number } | undefined;
}

/** A request to another gateway that has not been answered. */
export interface TokenExchange {
  readonly tenant: string;
  readonly peer: string;
  readonly sentAt: number;
  /** The request that needs a token; undefined if tokens are only wanted ahead or returned. */
  readonly call: CallId | undefined;
}

/** Tenants by name, for the configuration that they were taken from. */
export interface TenantIndex {
  readonly tenants: readonly Tenant[];
  readonly byName: ReadonlyMap<string, Tenant>;
}

/** State of the tenants' limits. */
export interface QuotaState {
  /** Identifies this process in requests for tokens; drawn before the first one. */
  process: number | undefined;
  sequence: number;
  /** Largest total of used tokens of a lease that was forgotten; later leases begin there. */
  usedBefore: number;
  readonly owners: OwnerChoice;
  readonly leases: Map<string, HolderLease>;
  readonly owned: Map<string, OwnedQuota>;
  /** Version of the choice of owners for which `owned` was checked. */
  ownedVersion: number;
  /** Buckets for times without the owner's. */
  readonly backups: Map<string, TokenBucket>;
  readonly waiting: Map<CallId, WaitingCall>;
  /** Calls whose token has arrived and that are being routed. */
  readonly granted: Set<CallId>;
  readonly exchanges: Map<PeerRequestId, TokenExchange>;
  /** When the timer is due; undefined if it is not set. */
  timerAt: number | undefined;
  tenants: TenantIndex | undefined;
}

/** Creates the state of a process that has just started. */
export const createQuotaState = (): QuotaState => ({
  process: undefined,
  sequence: 0,
  usedBefore: 0,
  owners: new OwnerChoice(),
  leases: new Map(),
  owned: new Map(),
  ownedVersion: 0,
  backups: new Map(),
  waiting: new Map(),
  granted: new Set(),
  exchanges: new Map(),
  timerAt: undefined,
  tenants: undefined,
});
