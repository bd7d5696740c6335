import { describe, expect, it } from 'vitest';
import {
  admittedInWindow,
  allowedInWindow,
  BACKUPS,
  divideQuota,
  grantingMs,
  LEASE_COUNTED_MS,
  OWNER_STARTS,
} from '../../src/gateway/quotas/divide-quota.js';
import {
  createOwnedQuota,
  grantNeeded,
  grantToHolder,
} from '../../src/gateway/quotas/owned-quota.js';
import { LeaseBook } from '../../src/gateway/quotas/lease-book.js';
import {
  applyLease,
  consumeLeased,
  createHolderLease,
  giveBack,
  reportLease,
} from '../../src/gateway/quotas/holder-lease.js';
import {
  createBucket,
  fillBucket,
  putBack,
  putBackLimit,
  takeTokens,
} from '../../src/gateway/quotas/token-bucket.js';
import type { TokenAnswer, TokenRequest } from '../../src/gateway/model/peer-request.js';
import { QUOTA_BOUNDS } from './quota-network.js';

const LIMITS = [0.02, 0.08, 0.5, 2, 20, 300].flatMap((ratePerSecond) =>
  [0, 0.08, 1, 20, 500].map((burst) => ({ ratePerSecond, burst })),
);

describe('the division of a quota', () => {
  it('adds up to no more than the bound: owner, its starts, and all backups at once', () => {
    for (const quotaSlack of [0, 0.5, 5, 20]) {
      for (const quotaOvershoot of [0, 0.01, 0.1]) {
        const bounds = { ...QUOTA_BOUNDS, quotaSlack, quotaOvershoot };
        for (const limit of LIMITS) {
          const division = divideQuota(limit, bounds);
          const { rate, capacity, startLevel, backupRate, backupCapacity } = division;
          const sum =
            capacity +
            OWNER_STARTS * startLevel +
            rate * grantingMs(5_000) +
            BACKUPS * (backupCapacity + backupRate * grantingMs(5_000));
          expect(sum).toBeLessThanOrEqual(allowedInWindow(limit, bounds) + 1e-9);
          expect(admittedInWindow(division, 5_000)).toBeCloseTo(sum, 9);
          const parts = [rate, capacity, startLevel, backupRate, backupCapacity];
          expect(Math.min(...parts)).toBeGreaterThanOrEqual(0);
        }
      }
    }
  });

  it('gives small tenants whole tokens everywhere, and backups as much as the quota', () => {
    const division = divideQuota({ ratePerSecond: 0.08, burst: 0.08 }, QUOTA_BOUNDS);
    expect(division.capacity).toBeGreaterThan(3);
    expect(division.startLevel).toBeGreaterThanOrEqual(1);
    expect(division.backupCapacity).toBeGreaterThan(3);
    expect(division.backupRate * 1_000).toBeCloseTo(0.08, 9);
  });

  it('gives a large tenant a sixth of its quota from the backups', () => {
    const division = divideQuota({ ratePerSecond: 20, burst: 20 }, QUOTA_BOUNDS);
    expect((BACKUPS * division.backupRate * 1_000) / 20).toBeGreaterThan(0.15);
  });
});

describe('a token bucket', () => {
  it('counts leased tokens against its capacity', () => {
    const bucket = { ...createBucket(0, 0), leased: 3 };
    fillBucket(bucket, { rate: 1, capacity: 5 }, 100);
    expect(bucket.available).toBe(2);
  });

  it('takes back tokens only as if they had never been taken (failure: refusals while others take tokens, fuzz seed 10224)', () => {
    const limits = { rate: 0.001, capacity: 5 };
    const bucket = createBucket(5, 0);
    fillBucket(bucket, limits, 0);
    const limit = putBackLimit(bucket);
    takeTokens(bucket, 4);
    fillBucket(bucket, limits, 3_000);
    // Without the four tokens taken, three that became due would have found no room.
    expect(putBack(bucket, 1, limit)).toBe(0);
    const later = putBackLimit(bucket);
    takeTokens(bucket, 2);
    expect(putBack(bucket, 1, later)).toBe(1);
    expect(putBack(bucket, 1, later)).toBe(0);
  });

  it('takes back fewer tokens after its capacity was lowered', () => {
    const bucket = createBucket(1, 0);
    fillBucket(bucket, { rate: 0, capacity: 5 }, 0);
    const limit = putBackLimit(bucket);
    takeTokens(bucket, 1);
    fillBucket(bucket, { rate: 0, capacity: 1 }, 1);
    expect(putBack(bucket, 1, limit)).toBe(0);
  });
});

const report = (sequence: number, fields: Partial<TokenRequest> = {}): TokenRequest => ({
  type: 'tokens',
  tenant: 't',
  process: 1,
  sequence,
  used: 0,
  unused: 0,
  returned: 0,
  returnLimit: 0,
  needed: 0,
  ahead: 0,
  rank: 0,
  ...fields,
});

describe('the book of leases', () => {
  const lend = (book: LeaseBook) => {
    const bucket = createBucket(10, 0);
    book.report(bucket, 'h', report(1), 0);
    book.lease(bucket, 'h', takeTokens(bucket, 4));
    return bucket;
  };

  it('returns unused tokens to the bucket with the next report', () => {
    const book = new LeaseBook();
    const bucket = lend(book);
    expect(book.report(bucket, 'h', report(2, { used: 1, unused: 1 }), 10)).toBe('renewed');
    expect([bucket.available, bucket.leased]).toEqual([8, 1]);
  });

  it('returns nothing when a lease expires without a report (failure: a holder is killed or cut off)', () => {
    const book = new LeaseBook();
    const bucket = lend(book);
    book.expire(bucket, LEASE_COUNTED_MS);
    expect([bucket.available, bucket.leased, book.size]).toEqual([6, 0, 0]);
  });

  it('ignores a report that arrives after a later one (failure: reordered messages)', () => {
    const book = new LeaseBook();
    const bucket = lend(book);
    book.report(bucket, 'h', report(3, { used: 2, unused: 2 }), 10);
    expect(book.report(bucket, 'h', report(2), 11)).toBe('outdated');
    expect([bucket.available, bucket.leased]).toEqual([6, 2]);
  });

  it('returns nothing of another process of the holder (failure: the holder restarts)', () => {
    const book = new LeaseBook();
    const bucket = lend(book);
    expect(book.report(bucket, 'h', report(1, { process: 2 }), 10)).toBe('unknown');
    expect([bucket.available, bucket.leased]).toEqual([6, 0]);
  });
});

const answer = (sequence: number, fields: Partial<TokenAnswer> = {}): TokenAnswer => ({
  type: 'tokens',
  tenant: 't',
  sequence,
  role: 'owner',
  granted: 0,
  ahead: 0,
  isRenewed: true,
  validMs: 3_000,
  returnLimit: 50,
  availableInMs: 0,
  ...fields,
});

describe('a lease at its holder', () => {
  it('takes tokens only of the answer to its newest request (failure: a late answer)', () => {
    const lease = createHolderLease('t', 0, 0);
    reportLease(lease, 1, 0);
    reportLease(lease, 2, 10);
    applyLease(lease, 'o', answer(1, { ahead: 3 }), 0, 20);
    expect(lease.unused).toBe(0);
    applyLease(lease, 'o', answer(2, { ahead: 2 }), 10, 25);
    expect(lease.unused).toBe(2);
  });

  it('is valid from when it was requested (failure: an answer that is under way for long)', () => {
    const lease = createHolderLease('t', 0, 0);
    reportLease(lease, 1, 0);
    applyLease(lease, 'o', answer(1, { ahead: 3 }), 0, 2_990);
    expect(consumeLeased(lease, 2_999)).toBe(true);
    expect(consumeLeased(lease, 3_000)).toBe(false);
  });

  it('discards tokens that the owner does not know (failure: the owner restarts)', () => {
    const lease = createHolderLease('t', 0, 0);
    reportLease(lease, 1, 0);
    applyLease(lease, 'o', answer(1, { ahead: 3 }), 0, 3);
    reportLease(lease, 2, 100);
    consumeLeased(lease, 101);
    applyLease(lease, 'o', answer(2, { ahead: 1, isRenewed: false }), 100, 103);
    expect([lease.unused, lease.used]).toEqual([1, 0]);
  });

  it('uses a returned token again only while the owner still counts it as leased', () => {
    const lease = createHolderLease('t', 0, 0);
    reportLease(lease, 1, 0);
    applyLease(lease, 'o', answer(1, { ahead: 2 }), 0, 3);
    consumeLeased(lease, 10);
    expect(giveBack(lease, 10, 20)).toBe(true);
    expect([lease.unused, lease.returned]).toEqual([2, 0]);
    consumeLeased(lease, 30);
    reportLease(lease, 2, 40);
    expect(giveBack(lease, 30, 50)).toBe(true);
    expect([lease.unused, lease.returned, lease.returnLimit]).toEqual([1, 1, 50]);
  });

  it('does not exchange a token that was reported as used for one that was not (failure: fuzz seed 10224)', () => {
    const lease = createHolderLease('t', 0, 0);
    reportLease(lease, 1, 0);
    applyLease(lease, 'o', answer(1, { ahead: 3 }), 0, 3);
    consumeLeased(lease, 10);
    reportLease(lease, 2, 20);
    applyLease(lease, 'o', answer(2), 20, 23);
    consumeLeased(lease, 30);
    giveBack(lease, 10, 40);
    expect([lease.unused, lease.returned]).toEqual([1, 1]);
    lease.grantedAt = 50;
    giveBack(lease, 45, 60);
    expect([lease.unused, lease.returned]).toEqual([1, 2]);
  });

  it('returns no token to the owner that a backup may have granted', () => {
    const lease = createHolderLease('t', 0, 0);
    reportLease(lease, 1, 0);
    applyLease(lease, 'o', answer(1, { ahead: 2 }), 0, 3);
    consumeLeased(lease, 10);
    lease.backupAt = 15;
    expect(giveBack(lease, 10, 20)).toBe(false);
  });
});

describe('an owner', () => {
  const division = divideQuota({ ratePerSecond: 20, burst: 20 }, QUOTA_BOUNDS);

  it('leases nothing and keeps to part of its capacity until the leases of its predecessor have expired', () => {
    const quota = createOwnedQuota(division, 0, 2_000);
    expect(quota.bucket.available).toBeCloseTo(division.capacity * 0.4, 9);
    expect(grantToHolder(quota, division, 'h', report(1, { ahead: 5 }), 2_000)?.ahead).toBe(0);
    const later = LEASE_COUNTED_MS + 2_000;
    expect(grantToHolder(quota, division, 'h', report(2, { ahead: 5 }), later)?.ahead).toBe(5);
  });

  it('starts with few tokens, unless the whole tier starts for the first time (failure: a quick restart)', () => {
    const restarted = createOwnedQuota(division, 0, 0);
    expect(restarted.bucket.available).toBeCloseTo(division.startLevel, 9);
    const first = createOwnedQuota(division, Number.NEGATIVE_INFINITY, 0);
    expect(first.bucket.available).toBeCloseTo(division.capacity, 9);
  });

  it('tells holders turns, so that they do not all ask for the next token', () => {
    const quota = createOwnedQuota(division, Number.NEGATIVE_INFINITY, 0);
    grantNeeded(quota, division, Math.floor(division.capacity), 0, 0);
    const waits = [1, 2, 3, 4].map(() => grantNeeded(quota, division, 1, 0, 0).availableInMs);
    const gaps = waits.slice(1).map((wait, index) => wait - (waits[index] ?? 0));
    gaps.forEach((gap) => expect(gap).toBeCloseTo(50, 6));
  });
});
