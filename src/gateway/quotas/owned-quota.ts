/** The owner's state of one tenant: its bucket, the leases of the holders, and the order of those that wait. */
import type { TokenRequest } from '../model/peer-request.js';
import type { ClassRank } from '../scheduling/class-rank.js';
import { LEASE_COUNTED_MS, type QuotaDivision } from './divide-quota.js';
import { LeaseBook, type ReportOutcome } from './lease-book.js';
import {
  type BucketLimits,
  createBucket,
  fillBucket,
  putBackLimit,
  takeTokens,
  type TokenBucket,
  untilToken,
} from './token-bucket.js';

/** Share of the capacity that may be leased ahead of requests; the rest is for requests that wait. */
const LEASED_SHARE = 0.6;

/**
 * Share of the capacity that stays available when tokens are leased ahead, so that nothing is leased to a tenant near its
 * quota. With 0.25, a tenant at 0.95 of its quota was refused up to 1.2% of what a single bucket admits.
 */
const KEPT_SHARE = 0.45;

/**
 * Smallest capacity of which tokens are leased ahead. The requests of a smaller tenant arrive at many gateways, each of which
 * would hold tokens that the others lack.
 */
const MIN_LEASED_CAPACITY = 10;

/** Tokens that are kept for the most urgent class, at most this share of the capacity. */
const RESERVED_TOKENS = 2;
const RESERVED_SHARE = 0.125;

/** How long a more urgent class is taken into account after its last request, in milliseconds. */
const URGENT_MS = 2_000;

/** Tokens for the most urgent class after which another one gets a token from the reserve. */
const URGENT_TOKENS_IN_TURN = 3;

/** Longest time for which holders are given turns, in milliseconds, so that free tokens do not stay unused. */
const MAX_TURNS_MS = 1_000;

/** Longest time until a token that is reported to holders, in milliseconds. */
const MAX_AVAILABLE_IN_MS = 60_000;

/** State of a tenant at its owner. */
export interface OwnedQuota {
  readonly bucket: TokenBucket;
  readonly book: LeaseBook;
  /** Since when this process owns it; negative infinity on the first start of the tier. */
  readonly since: number;
  askedAt: number;
  /** Rank of the most urgent class that asked recently. */
  urgentRank: ClassRank;
  urgentAt: number;
  /** Tokens for that class since another class got one. */
  urgentTokens: number;
  /** When the turn of the next holder that has to wait begins. */
  nextTurnAt: number;
  /** Since when requests are refused for lack of tokens; undefined while none are. */
  overSince: number | undefined;
  refusedAt: number;
  /** Requests for tokens that were refused since then. */
  refused: number;
}

/** Tokens for the requests that a holder has waiting, and for further ones. */
export interface OwnerGrant {
  readonly granted: number;
  readonly ahead: number;
  readonly isRenewed: boolean;
  readonly returnLimit: number;
  readonly availableInMs: number;
}

/** Until when leases of a predecessor may be in use. */
const settledAt = ({ since }: OwnedQuota): number => since + LEASE_COUNTED_MS;

/**
 * Rate and capacity at a time. Until the leases of a predecessor have expired, the bucket is given the part of the capacity
 * that cannot be leased, so that both together stay within the whole.
 */
export const limitsAt = (
  quota: OwnedQuota,
  { rate, capacity }: QuotaDivision,
  at: number,
): BucketLimits => ({
  rate,
  capacity: at < settledAt(quota) ? capacity * (1 - LEASED_SHARE) : capacity,
});

/**
 * Creates the state of a tenant that this process owns since `since`, as it would be if it had been created then and no
 * token had been requested. Tenants whose bucket is full can therefore be forgotten.
 */
export const createOwnedQuota = (
  division: QuotaDivision,
  since: number,
  at: number,
): OwnedQuota => {
  const isFirst = since === Number.NEGATIVE_INFINITY;
  const bucket = createBucket(
    isFirst ? division.capacity : division.startLevel,
    isFirst ? at : since,
  );
  const quota: OwnedQuota = {
    bucket,
    book: new LeaseBook(),
    since,
    askedAt: at,
    urgentRank: Number.POSITIVE_INFINITY,
    urgentAt: Number.NEGATIVE_INFINITY,
    urgentTokens: 0,
    nextTurnAt: at,
    overSince: undefined,
    refusedAt: Number.NEGATIVE_INFINITY,
    refused: 0,
  };
  fillOwned(quota, division, at);
  return quota;
};

/** Brings the bucket up to date; the time before the predecessor's leases expired counts with the capacity of that time. */
export const fillOwned = (quota: OwnedQuota, division: QuotaDivision, at: number): void => {
  const settled = settledAt(quota);
  if (quota.bucket.filledAt < settled && settled <= at) {
    fillBucket(quota.bucket, limitsAt(quota, division, quota.bucket.filledAt), settled);
  }
  fillBucket(quota.bucket, limitsAt(quota, division, at), at);
  quota.book.expire(quota.bucket, at);
};

const noteRank = (quota: OwnedQuota, rank: ClassRank, at: number): void => {
  if (rank <= quota.urgentRank || at - quota.urgentAt > URGENT_MS) {
    quota.urgentTokens = rank < quota.urgentRank ? 0 : quota.urgentTokens;
    quota.urgentRank = rank;
    quota.urgentAt = at;
  }
};

/** Tokens that a class must leave in the bucket for a more urgent one. */
const reservedFor = (quota: OwnedQuota, { capacity }: QuotaDivision, rank: ClassRank): number =>
  rank > quota.urgentRank && quota.urgentTokens < URGENT_TOKENS_IN_TURN
    ? Math.min(RESERVED_TOKENS, capacity * RESERVED_SHARE)
    : 0;

/** Time until a holder that got no token is to ask again: those that wait take turns. */
const assignTurn = (
  quota: OwnedQuota,
  limits: BucketLimits,
  missing: number,
  at: number,
): number => {
  const untilOne = Math.min(MAX_AVAILABLE_IN_MS, untilToken(quota.bucket, limits, missing));
  const lastAt = at + Math.max(untilOne, MAX_TURNS_MS);
  const turnAt = Math.min(lastAt, Math.max(quota.nextTurnAt, at + untilOne));
  const turnMs = limits.rate > 0 ? 1 / limits.rate : 0;
  quota.nextTurnAt = Math.min(lastAt, turnAt + turnMs);
  return turnAt - at;
};

const noteRefusal = (quota: OwnedQuota, count: number, at: number): void => {
  quota.overSince ??= at;
  quota.refusedAt = at;
  quota.refused += count;
};

/** Takes tokens for requests that wait; they count as used at once. */
export const grantNeeded = (
  quota: OwnedQuota,
  division: QuotaDivision,
  needed: number,
  rank: ClassRank,
  at: number,
): Pick<OwnerGrant, 'granted' | 'availableInMs'> => {
  fillOwned(quota, division, at);
  quota.askedAt = at;
  if (needed === 0) {
    return { granted: 0, availableInMs: 0 };
  }
  noteRank(quota, rank, at);
  const reserved = reservedFor(quota, division, rank);
  const free = Math.max(0, quota.bucket.available - reserved);
  const granted = takeTokens(quota.bucket, Math.min(needed, Math.floor(free + 1e-9)));
  if (granted > 0) {
    quota.urgentTokens = rank > quota.urgentRank ? 0 : quota.urgentTokens + granted;
  }
  if (granted === needed) {
    return { granted, availableInMs: 0 };
  }
  noteRefusal(quota, needed - granted, at);
  const limits = limitsAt(quota, division, at);
  return { granted, availableInMs: Math.max(1, assignTurn(quota, limits, 1 + reserved, at)) };
};

/** Leases tokens ahead of requests, while enough remain for those that wait. */
const leaseAhead = (
  quota: OwnedQuota,
  { capacity }: QuotaDivision,
  holder: string,
  wanted: number,
  at: number,
): number => {
  if (at < settledAt(quota) || capacity < MIN_LEASED_CAPACITY) {
    return 0;
  }
  const { bucket, book } = quota;
  const room = Math.min(
    capacity * LEASED_SHARE - bucket.leased,
    bucket.available - capacity * KEPT_SHARE,
  );
  const taken = takeTokens(bucket, Math.min(wanted, Math.floor(Math.max(0, room))));
  book.lease(bucket, holder, taken);
  return taken;
};

/** Handles a holder's request; undefined if a later one was received before. */
export const grantToHolder = (
  quota: OwnedQuota,
  division: QuotaDivision,
  holder: string,
  request: TokenRequest,
  at: number,
): OwnerGrant | undefined => {
  fillOwned(quota, division, at);
  const outcome: ReportOutcome = quota.book.report(quota.bucket, holder, request, at);
  if (outcome === 'outdated') {
    return undefined;
  }
  const grant = grantNeeded(quota, division, request.needed, request.rank, at);
  const ahead = leaseAhead(quota, division, holder, request.ahead, at);
  const returnLimit = putBackLimit(quota.bucket);
  return { ...grant, ahead, isRenewed: outcome === 'renewed', returnLimit };
};
