/**
 * Divides what a tenant's limit allows in a window among the buckets that grant tokens, so that the sum over all gateways
 * stays within the bound however these are separated.
 *
 * In any window of W seconds, rate x W + burst requests are regular, and the excess, overshoot x (rate x W + burst) + slack,
 * is tolerated. The owner's bucket admits at most rate x W + capacity. The excess pays for everything else:
 *
 * - drift: an owner's clock that is 1% fast, and tokens that are used up to `IMMEDIATE_MS` after they were granted;
 * - the part of the owner's capacity above the burst, so that tenants with a burst below 1 are served;
 * - what the bucket of an owner holds that has just started or taken over (`OWNER_STARTS` in one window), as it does not know
 *   what its predecessor granted;
 * - the buckets of the `BACKUPS` gateways that grant while the owner does not.
 */
import type { TenantLimit } from '../model/tenant.js';
import type { GatewayBounds } from '../settings.js';

/** Largest difference between the rates of two clocks. */
export const CLOCK_RATE_MARGIN = 0.01;

/** How long leased tokens are valid from when they were requested, in milliseconds. */
export const LEASE_MS = 3_000;

/** How long the owner counts leased tokens as outstanding: longer than any holder can use them. */
export const LEASE_COUNTED_MS = LEASE_MS * (1 + 2 * CLOCK_RATE_MARGIN);

/** How long a token for a waiting request is valid from when it was requested, in milliseconds. */
export const IMMEDIATE_MS = 90;

/** Gateways with a bucket of their own for times without the owner's: the owner itself and the next two. */
export const BACKUPS = 3;

/** Starts and changes of an owner that may fall into one window. */
export const OWNER_STARTS = 2;

/** Share of the excess that remains after the drift for each start of an owner. */
const START_SHARE = 0.05;

/**
 * Shares of it that are added to the owner's capacity: the larger one as far as the burst is below `SMALL_BURST`. Backups
 * have the rest.
 */
const MIN_CAPACITY_SHARE = 0.2;
const MAX_CAPACITY_SHARE = 0.4;
const SMALL_BURST = 7;

/** Excess from which a start is given a whole token: small tenants must be served right after a start. */
const MIN_EXCESS_FOR_WHOLE_START = 12;

/** Smallest share of a backup's tokens that is capacity rather than rate, unless one whole token is more. */
const MIN_BACKUP_CAPACITY_SHARE = 0.2;

const MS_PER_SECOND = 1_000;

/** The parameters of a tenant's buckets. Rates are in tokens per millisecond. */
export interface QuotaDivision {
  readonly rate: number;
  readonly capacity: number;
  /** Tokens that an owner's bucket holds when it starts or takes over. */
  readonly startLevel: number;
  readonly backupRate: number;
  readonly backupCapacity: number;
}

/** Largest number of requests that may run in one window. */
export const allowedInWindow = (
  { ratePerSecond, burst }: TenantLimit,
  { quotaWindowMs = 0, quotaOvershoot = 0, quotaSlack = 0 }: GatewayBounds,
): number =>
  ((ratePerSecond * quotaWindowMs) / MS_PER_SECOND + burst) * (1 + quotaOvershoot) + quotaSlack;

/** Time on a clock that is 1% fast in which the tokens used within one window can have been granted, in milliseconds. */
export const grantingMs = (windowMs: number): number =>
  (windowMs + IMMEDIATE_MS * (1 + CLOCK_RATE_MARGIN)) * (1 + CLOCK_RATE_MARGIN);

const divideBackups = (
  rate: number,
  share: number,
  windowMs: number,
): Pick<QuotaDivision, 'backupRate' | 'backupCapacity'> => {
  const capacity = Math.min(share, Math.max(1, share * MIN_BACKUP_CAPACITY_SHARE));
  const spanMs = grantingMs(windowMs);
  const backupRate = Math.min(rate, (share - capacity) / spanMs);
  return { backupRate, backupCapacity: share - backupRate * spanMs };
};

const startLevelOf = (excess: number): number => {
  const share = excess * START_SHARE;
  return excess >= MIN_EXCESS_FOR_WHOLE_START ? Math.max(1, share) : share;
};

/** Divides a limit; `bounds.quotaWindowMs` must be set. */
export const divideQuota = (limit: TenantLimit, bounds: GatewayBounds): QuotaDivision => {
  const { quotaWindowMs: windowMs = 0 } = bounds;
  const { ratePerSecond, burst } = limit;
  const rate = ratePerSecond / MS_PER_SECOND;
  const spanMs = grantingMs(windowMs);
  const excess = allowedInWindow(limit, bounds) - rate * windowMs - burst;
  const drift = rate * (spanMs - windowMs);
  if (excess <= drift) {
    // There is no room for a fast clock: the bucket is filled more slowly, and nobody else grants tokens.
    const slower = (rate * windowMs + excess) / spanMs;
    return { rate: slower, capacity: burst, startLevel: 0, backupRate: 0, backupCapacity: 0 };
  }
  const rest = excess - drift;
  const startLevel = startLevelOf(rest);
  const added = Math.max(
    rest * MIN_CAPACITY_SHARE,
    Math.min(rest * MAX_CAPACITY_SHARE, SMALL_BURST - burst),
  );
  const backups = rest - added - OWNER_STARTS * startLevel;
  return {
    rate,
    capacity: burst + added,
    startLevel,
    ...divideBackups(rate, backups / BACKUPS, windowMs),
  };
};

/** Largest number of requests that the buckets of a division admit in one window, over all gateways. */
export const admittedInWindow = (
  { rate, capacity, startLevel, backupRate, backupCapacity }: QuotaDivision,
  windowMs: number,
): number =>
  capacity +
  OWNER_STARTS * startLevel +
  rate * grantingMs(windowMs) +
  BACKUPS * (backupCapacity + backupRate * grantingMs(windowMs));
