/** Renews leases and forgets tenants without recent requests, at intervals. */
import type { GatewayEffect } from '../effect.js';
import type { GatewayState } from '../state.js';
import { dropOldExchanges, renewLease } from './ask-tokens.js';
import { divideQuota, LEASE_MS } from './divide-quota.js';
import { dropLostQuotas, findLimit } from './keep-quota.js';
import { fillOwned } from './owned-quota.js';
import { logWithinLimit } from './quota-log.js';
import { setQuotasTimer, SWEEP_MS } from './quotas-timer.js';
import { fillBucket } from './token-bucket.js';

/** Time without requests after which a tenant is forgotten, in milliseconds. */
const FORGET_MS = 10_000;

/** Leases that expire within this time are renewed, in milliseconds: the answer must arrive before. */
const RENEW_MS = SWEEP_MS + 200;

const sweepLeases = (state: GatewayState, at: number): GatewayEffect[] => {
  const { quotas } = state;
  return [...quotas.leases.values()].flatMap((lease) => {
    const lastAt = Math.max(lease.demandAt, lease.sentAt + 2 * LEASE_MS);
    if (at - lastAt >= FORGET_MS) {
      quotas.usedBefore = Math.max(quotas.usedBefore, lease.used);
      quotas.leases.delete(lease.tenant);
      return [];
    }
    return renewLease(state, lease, RENEW_MS, at);
  });
};

const sweepOwned = (state: GatewayState, at: number): GatewayEffect[] => {
  const { quotas, settings } = state;
  return [...quotas.owned].flatMap(([tenant, quota]) => {
    const limit = findLimit(state, tenant);
    if (limit === undefined) {
      quotas.owned.delete(tenant);
      return [];
    }
    const division = divideQuota(limit, settings.bounds);
    fillOwned(quota, division, at);
    const isFull = quota.bucket.fullAt >= at && quota.book.size === 0;
    const log = logWithinLimit(tenant, quota, at);
    if (isFull && quota.overSince === undefined && at - quota.askedAt >= FORGET_MS) {
      quotas.owned.delete(tenant);
    }
    return log;
  });
};

const sweepBackups = (state: GatewayState, at: number): void => {
  const { quotas, settings } = state;
  for (const [tenant, bucket] of quotas.backups) {
    const limit = findLimit(state, tenant);
    if (limit !== undefined) {
      const { backupRate, backupCapacity } = divideQuota(limit, settings.bounds);
      fillBucket(bucket, { rate: backupRate, capacity: backupCapacity }, at);
    }
    if (limit === undefined || bucket.fullAt >= at) {
      quotas.backups.delete(tenant);
    }
  }
};

/** Forgets the rankings of tenants about which nothing else is known. */
const sweepRankings = ({ quotas }: GatewayState): void =>
  quotas.owners.keepRankings(
    (tenant) => quotas.leases.has(tenant) || quotas.owned.has(tenant) || quotas.backups.has(tenant),
  );

const isIdle = ({ quotas }: GatewayState): boolean =>
  quotas.leases.size === 0 &&
  quotas.owned.size === 0 &&
  quotas.backups.size === 0 &&
  quotas.exchanges.size === 0;

/** Handles the timer `quotas`. */
export const handleQuotasDue = (state: GatewayState, at: number): GatewayEffect[] => {
  state.quotas.timerAt = undefined;
  dropOldExchanges(state, at);
  // Nobody may ask while another gateway owns a tenant: its bucket must not serve again when this one owns it later.
  dropLostQuotas(state, at);
  const effects = [...sweepLeases(state, at), ...sweepOwned(state, at)];
  sweepBackups(state, at);
  sweepRankings(state);
  return isIdle(state) ? effects : [...effects, ...setQuotasTimer(state, at)];
};
