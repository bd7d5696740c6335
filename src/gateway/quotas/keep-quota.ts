/** Grants tokens of the tenants whose limits this gateway keeps, as their owner or as a backup. */
import type { GatewayEffect } from '../effect.js';
import type { PeerRequestReceived } from '../event.js';
import type { TokenAnswer, TokenRequest } from '../model/peer-request.js';
import type { Tenant, TenantLimit } from '../model/tenant.js';
import type { ClassRank } from '../scheduling/class-rank.js';
import type { GatewayState } from '../state.js';
import { confirmedAt } from '../store/confirmation.js';
import { divideQuota, LEASE_MS, type QuotaDivision } from './divide-quota.js';
import {
  createOwnedQuota,
  fillOwned,
  grantNeeded,
  grantToHolder,
  type OwnedQuota,
} from './owned-quota.js';
import { BACKUPS } from './divide-quota.js';
import { logOverLimit } from './quota-log.js';
import { setQuotasTimer } from './quotas-timer.js';
import {
  createBucket,
  fillBucket,
  putBackLimit,
  takeTokens,
  type TokenBucket,
  untilToken,
} from './token-bucket.js';

/** Longest time until a token that a backup reports, in milliseconds; the owner may be back earlier. */
const MAX_BACKUP_WAIT_MS = 500;

/** Tokens granted here, or the time until there are some. */
export interface GrantedHere {
  readonly role: TokenAnswer['role'];
  readonly granted: number;
  readonly availableInMs: number;
  /** Limit for the return of the token; present from an owner. */
  readonly returnLimit?: number;
}

/** The limit of a tenant by the configuration in force; undefined if it has none. */
export const findLimit = (
  { quotas, inForce }: GatewayState,
  name: string,
): TenantLimit | undefined => {
  const tenants = inForce?.configuration.tenants;
  if (tenants === undefined) {
    return undefined;
  }
  if (quotas.tenants?.tenants !== tenants) {
    const byName = new Map<string, Tenant>(tenants.map((tenant) => [tenant.name, tenant]));
    quotas.tenants = { tenants, byName };
  }
  return quotas.tenants.byName.get(name)?.limit;
};

/** Follows the list of gateways; called after each update from the store or a reader. */
export const updateOwners = (state: GatewayState, at: number): void => {
  const { quotas, peers, settings, startedAt, collections } = state;
  if (settings.bounds.quotaWindowMs === undefined || !collections.gateways.isListed) {
    return;
  }
  const { node, firstStart } = settings;
  quotas.owners.update(peers, { node, firstStart, startedAt }, at);
};

/** Forgets the buckets of tenants that this gateway no longer owns. */
export const dropLostQuotas = ({ quotas, settings }: GatewayState, at: number): void => {
  quotas.owners.advance(at);
  if (quotas.ownedVersion === quotas.owners.version) {
    return;
  }
  quotas.ownedVersion = quotas.owners.version;
  for (const tenant of quotas.owned.keys()) {
    if (quotas.owners.rank(tenant, settings.node, at).ownPlace !== 0) {
      quotas.owned.delete(tenant);
    }
  }
};

/**
 * The role in which this gateway keeps the limit of a tenant. An owner without recent contact with the store is only a
 * backup: another gateway may own the tenant by now, or its quota may have been lowered.
 */
const roleFor = (state: GatewayState, tenant: string, at: number): TokenAnswer['role'] => {
  const { quotas, settings, gatewaysSettled } = state;
  const { quotaWindowMs = 0 } = settings.bounds;
  const { ownPlace } = quotas.owners.rank(tenant, settings.node, at);
  dropLostQuotas(state, at);
  if (!gatewaysSettled || ownPlace < 0 || ownPlace >= BACKUPS) {
    return 'none';
  }
  return ownPlace === 0 && at - confirmedAt(state) <= quotaWindowMs ? 'owner' : 'backup';
};

const ownedQuotaOf = (
  { quotas, settings, startedAt }: GatewayState,
  tenant: string,
  division: QuotaDivision,
  at: number,
): OwnedQuota => {
  const known = quotas.owned.get(tenant);
  if (known !== undefined) {
    return known;
  }
  const isFirst = settings.firstStart && quotas.owners.changedAt === Number.NEGATIVE_INFINITY;
  const since = isFirst ? quotas.owners.changedAt : Math.max(startedAt, quotas.owners.changedAt);
  const created = createOwnedQuota(division, since, at);
  quotas.owned.set(tenant, created);
  return created;
};

const backupBucketOf = (
  { quotas, settings, startedAt }: GatewayState,
  tenant: string,
  { backupCapacity }: QuotaDivision,
): TokenBucket => {
  const known = quotas.backups.get(tenant);
  if (known !== undefined) {
    return known;
  }
  const created = settings.firstStart
    ? createBucket(backupCapacity, startedAt)
    : createBucket(0, startedAt);
  quotas.backups.set(tenant, created);
  return created;
};

const grantAsBackup = (
  state: GatewayState,
  tenant: string,
  division: QuotaDivision,
  needed: number,
  at: number,
): GrantedHere => {
  const bucket = backupBucketOf(state, tenant, division);
  const limits = { rate: division.backupRate, capacity: division.backupCapacity };
  fillBucket(bucket, limits, at);
  const granted = takeTokens(bucket, needed);
  const availableInMs =
    granted === needed ? 0 : Math.min(MAX_BACKUP_WAIT_MS, untilToken(bucket, limits));
  return { role: 'backup', granted, availableInMs };
};

const countGrant = ({ counters }: GatewayState, role: string, granted: number, ahead = 0): void => {
  counters.quotaTokens.addCount(granted, role);
  counters.quotaTokens.addCount(ahead, 'ahead');
};

const NOTHING: GrantedHere = { role: 'none', granted: 0, availableInMs: 0 };

/** Takes a token for a request of this gateway from the bucket that it keeps itself. */
export const grantHere = (
  state: GatewayState,
  tenant: string,
  rank: ClassRank,
  at: number,
): { readonly grant: GrantedHere; readonly effects: readonly GatewayEffect[] } => {
  const limit = findLimit(state, tenant);
  const role = limit === undefined ? 'none' : roleFor(state, tenant, at);
  if (limit === undefined || role === 'none') {
    return { grant: NOTHING, effects: [] };
  }
  const division = divideQuota(limit, state.settings.bounds);
  const timer = setQuotasTimer(state, at);
  if (role === 'backup') {
    const grant = grantAsBackup(state, tenant, division, 1, at);
    countGrant(state, role, grant.granted);
    return { grant, effects: timer };
  }
  const quota = ownedQuotaOf(state, tenant, division, at);
  const wasOver = quota.overSince !== undefined;
  fillOwned(quota, division, at);
  const returnLimit = putBackLimit(quota.bucket);
  const grant = grantNeeded(quota, division, 1, rank, at);
  countGrant(state, role, grant.granted);
  const effects = [...timer, ...(wasOver ? [] : logOverLimit(state, tenant, limit, quota, at))];
  return { grant: { role, ...grant, returnLimit }, effects };
};

const answerAsOwner = (
  state: GatewayState,
  { from, at }: PeerRequestReceived,
  request: TokenRequest,
  limit: TenantLimit,
): { readonly fields?: Partial<TokenAnswer>; readonly effects: readonly GatewayEffect[] } => {
  const division = divideQuota(limit, state.settings.bounds);
  const quota = ownedQuotaOf(state, request.tenant, division, at);
  const wasOver = quota.overSince !== undefined;
  const grant = grantToHolder(quota, division, from, request, at);
  if (grant === undefined) {
    return { effects: [] };
  }
  countGrant(state, 'owner', grant.granted, grant.ahead);
  const effects = wasOver ? [] : logOverLimit(state, request.tenant, limit, quota, at);
  return { fields: { role: 'owner', ...grant }, effects };
};

/** Fields of the answer to a request; none if it is outdated. */
const decideAnswer = (
  state: GatewayState,
  received: PeerRequestReceived,
  request: TokenRequest,
): { readonly fields?: Partial<TokenAnswer>; readonly effects: readonly GatewayEffect[] } => {
  const { at } = received;
  const limit = findLimit(state, request.tenant);
  const isLimiting = state.settings.bounds.quotaWindowMs !== undefined && limit !== undefined;
  const role = isLimiting ? roleFor(state, request.tenant, at) : 'none';
  if (limit === undefined || role === 'none') {
    return { fields: {}, effects: [] };
  }
  if (role === 'owner') {
    return answerAsOwner(state, received, request, limit);
  }
  const division = divideQuota(limit, state.settings.bounds);
  const grant = grantAsBackup(state, request.tenant, division, request.needed, at);
  countGrant(state, role, grant.granted);
  return { fields: grant, effects: [] };
};

/** Handles another gateway's request for tokens. */
export const handleTokenRequest = (
  state: GatewayState,
  received: PeerRequestReceived,
  request: TokenRequest,
): GatewayEffect[] => {
  const { tenant, sequence } = request;
  const { fields, effects } = decideAnswer(state, received, request);
  if (fields === undefined) {
    return [...effects];
  }
  const answer: TokenAnswer = {
    type: 'tokens',
    tenant,
    sequence,
    role: 'none',
    granted: 0,
    ahead: 0,
    isRenewed: false,
    validMs: LEASE_MS,
    returnLimit: 0,
    availableInMs: 0,
    ...fields,
  };
  return [
    { type: 'answer-peer', exchange: received.exchange, answer },
    ...(state.settings.bounds.quotaWindowMs === undefined
      ? []
      : setQuotasTimer(state, received.at)),
    ...effects,
  ];
};
