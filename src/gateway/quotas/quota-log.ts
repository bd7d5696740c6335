/** Log lines about tenants that exceed their quotas: one at the beginning and one at the end. */
import type { GatewayEffect } from '../effect.js';
import type { TenantLimit } from '../model/tenant.js';
import type { GatewayState } from '../state.js';
import { confirmedAt } from '../store/confirmation.js';
import type { OwnedQuota } from './owned-quota.js';

/** Time without a refusal after which a tenant counts as within its quota again, in milliseconds. */
const QUIET_MS = 10_000;

/** Holders named in a line. */
const NAMED_HOLDERS = 3;

const ageOf = (since: number, at: number): number | undefined =>
  Number.isFinite(since) ? Math.round(at - since) : undefined;

/** Logs that a tenant exceeds its quota, if its owner has just refused the first request. */
export const logOverLimit = (
  state: GatewayState,
  tenant: string,
  limit: TenantLimit,
  quota: OwnedQuota,
  at: number,
): GatewayEffect[] => {
  if (quota.overSince === undefined) {
    return [];
  }
  const confirmedMs = ageOf(confirmedAt(state), at);
  const ownedMs = ageOf(quota.since, at);
  return [
    {
      type: 'write-log',
      level: 'info',
      part: 'caller',
      change: {
        event: 'tenant-over-limit',
        tenant,
        ratePerSecond: limit.ratePerSecond,
        burst: limit.burst,
        available: Math.round(quota.bucket.available * 100) / 100,
        leased: Math.round(quota.bucket.leased),
        holders: quota.book.size,
        largest: Object.fromEntries(quota.book.largest(NAMED_HOLDERS)),
        version: state.inForce?.configuration.version ?? 0,
        ...(confirmedMs !== undefined && { confirmedMs }),
        ...(ownedMs !== undefined && { ownedMs }),
      },
    },
  ];
};

/** Logs that a tenant is within its quota again, once it has not been refused for some time. */
export const logWithinLimit = (tenant: string, quota: OwnedQuota, at: number): GatewayEffect[] => {
  if (quota.overSince === undefined || at - quota.refusedAt < QUIET_MS) {
    return [];
  }
  const forMs = Math.round(quota.refusedAt - quota.overSince);
  const { refused } = quota;
  quota.overSince = undefined;
  quota.refused = 0;
  return [
    {
      type: 'write-log',
      level: 'info',
      part: 'caller',
      change: { event: 'tenant-within-limit', tenant, forMs, refused },
    },
  ];
};
