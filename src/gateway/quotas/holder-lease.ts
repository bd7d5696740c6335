/** A gateway's tokens of one tenant: those leased ahead by the owner, and when it may ask for more. */
import type { TokenAnswer, TokenRequest } from '../model/peer-request.js';
import type { ClassRank } from '../scheduling/class-rank.js';
import { LEASE_MS } from './divide-quota.js';

/** Time over which the recent requests of a tenant are counted, in milliseconds. */
const DEMAND_MS = LEASE_MS;

/** Recent requests from which tokens are leased ahead: a lease for one request is more often lost than used. */
const MIN_DEMAND = 1.4;

/** Largest number of tokens leased ahead. */
const MAX_AHEAD = 16;

/** Shortest time between two requests for tokens ahead, in milliseconds. */
const MIN_AHEAD_INTERVAL_MS = 100;

/** Limits of the owner that are remembered for tokens that are returned, and the shortest time between two. */
const MAX_STAMPS = 12;
const STAMP_INTERVAL_MS = 50;

/** Why requests are refused here without asking. */
export interface Denial {
  readonly reason: 'over-limit' | 'limit-unavailable';
  /** Requests of this rank and less urgent ones are refused. */
  readonly rank: ClassRank;
  readonly since: number;
  readonly untilAt: number;
  /** When a token is expected. */
  readonly tokenAt: number;
  /** The gateway that decided it. */
  readonly by: string;
}

interface Stamp {
  readonly receivedAt: number;
  /** Limit for the return of tokens that are used after that. */
  readonly returnLimit: number;
}

/** State of a tenant at a gateway that admits its requests. */
export interface HolderLease {
  readonly tenant: string;
  unused: number;
  expiresAt: number;
  /** Total of leased tokens used; never falls below `reported`. */
  used: number;
  /** The total in the newest request. */
  reported: number;
  /** Sequence of the newest request to an owner; only its answer may lease tokens. */
  newest: number;
  sentAt: number;
  /** Requests in the last `DEMAND_MS`, decaying exponentially. */
  demand: number;
  demandAt: number;
  denial: Denial | undefined;
  /** Until when the owner is not waited for, as it did not answer in time. */
  avoidOwnerUntil: number;
  /** When a backup last granted a token here. */
  backupAt: number;
  /** When the owner last granted a token for a request that waited; such a token is not leased. */
  grantedAt: number;
  /** The gateway that the stamps and returned tokens refer to. */
  owner: string | undefined;
  /** Tokens to return to the owner, and the smallest limit for their return. */
  returned: number;
  returnLimit: number;
  stamps: readonly Stamp[];
}

/** Creates the state of a tenant. `used` is at least any total that was reported before. */
export const createHolderLease = (tenant: string, used: number, at: number): HolderLease => ({
  tenant,
  unused: 0,
  expiresAt: Number.NEGATIVE_INFINITY,
  used,
  reported: used,
  newest: 0,
  sentAt: Number.NEGATIVE_INFINITY,
  demand: 0,
  demandAt: at,
  denial: undefined,
  avoidOwnerUntil: Number.NEGATIVE_INFINITY,
  backupAt: Number.NEGATIVE_INFINITY,
  grantedAt: Number.NEGATIVE_INFINITY,
  owner: undefined,
  returned: 0,
  returnLimit: 0,
  stamps: [],
});

const demandOf = ({ demand, demandAt }: HolderLease, at: number): number =>
  demand * Math.exp((demandAt - at) / DEMAND_MS);

/** Counts a request of the tenant. */
export const countDemand = (lease: HolderLease, at: number): void => {
  lease.demand = demandOf(lease, at) + 1;
  lease.demandAt = at;
};

/** Number of tokens to hold. */
export const wantedAhead = (lease: HolderLease, at: number): number => {
  const demand = demandOf(lease, at);
  return demand < MIN_DEMAND ? 0 : Math.min(MAX_AHEAD, Math.ceil(demand - 1));
};

/** Discards leased tokens that have expired. */
export const dropExpired = (lease: HolderLease, at: number): void => {
  if (at >= lease.expiresAt) {
    lease.unused = 0;
  }
};

/** Uses a leased token; false if there is none. */
export const consumeLeased = (lease: HolderLease, at: number): boolean => {
  dropExpired(lease, at);
  if (lease.unused < 1) {
    return false;
  }
  lease.unused -= 1;
  lease.used += 1;
  return true;
};

/** Whether tokens should be requested ahead of the next request, after one was used. */
export const isRefillDue = (lease: HolderLease, at: number): boolean =>
  lease.unused * 2 <= wantedAhead(lease, at) &&
  wantedAhead(lease, at) > lease.unused &&
  at - lease.sentAt >= MIN_AHEAD_INTERVAL_MS;

/** Remembers the limit for the return of tokens that are used from now on. An older one holds for them as well. */
export const addStamp = (
  lease: HolderLease,
  owner: string,
  returnLimit: number,
  at: number,
): void => {
  if (lease.owner !== owner) {
    lease.owner = owner;
    lease.stamps = [];
    lease.returned = 0;
  }
  const lastAt = lease.stamps.at(-1)?.receivedAt ?? Number.NEGATIVE_INFINITY;
  if (at - lastAt >= STAMP_INTERVAL_MS) {
    lease.stamps = [...lease.stamps, { receivedAt: at, returnLimit }].slice(-MAX_STAMPS);
  }
};

/** The newest limit from before a request arrived. */
export const findStamp = ({ stamps }: HolderLease, receivedAt: number): Stamp | undefined =>
  stamps.findLast((stamp) => stamp.receivedAt <= receivedAt);

/**
 * Returns the token of a request that did not run and arrived at `receivedAt`.
 *
 * A leased token that was used since the newest report still counts as leased at the owner, and can be used again here. It
 * must be that request's own token: in exchange for another, the owner would take back one that it may have replaced since.
 * Otherwise the owner takes it back, if it can tell that its bucket has not been full since.
 */
export const giveBack = (lease: HolderLease, receivedAt: number, at: number): boolean => {
  if (lease.backupAt >= receivedAt) {
    return false;
  }
  const isUnreported = receivedAt > lease.sentAt && receivedAt > lease.grantedAt;
  if (isUnreported && lease.used > lease.reported && at < lease.expiresAt) {
    lease.used -= 1;
    lease.unused += 1;
    return true;
  }
  const stamp = findStamp(lease, receivedAt);
  if (stamp === undefined) {
    return false;
  }
  const { returnLimit } = stamp;
  lease.returnLimit = lease.returned === 0 ? returnLimit : Math.min(lease.returnLimit, returnLimit);
  lease.returned += 1;
  return true;
};

/** Fields of the next request to the owner; the lease counts as reported. */
export const reportLease = (
  lease: HolderLease,
  sequence: number,
  at: number,
): Pick<TokenRequest, 'used' | 'unused' | 'returned' | 'returnLimit'> => {
  dropExpired(lease, at);
  const { used, unused, returned, returnLimit } = lease;
  lease.reported = used;
  lease.newest = sequence;
  lease.sentAt = at;
  lease.returned = 0;
  return { used, unused, returned, returnLimit: returned === 0 ? 0 : returnLimit };
};

/** Applies the owner's answer to a request that was sent at `sentAt`. */
export const applyLease = (
  lease: HolderLease,
  owner: string,
  answer: TokenAnswer,
  sentAt: number,
  at: number,
): void => {
  lease.avoidOwnerUntil = Number.NEGATIVE_INFINITY;
  if (answer.sequence !== lease.newest) {
    return;
  }
  dropExpired(lease, at);
  if (!answer.isRenewed) {
    // The owner does not know the earlier lease: uses since the request are no uses of the new one.
    lease.unused = 0;
    lease.used = lease.reported;
  }
  lease.unused += answer.ahead;
  lease.expiresAt = sentAt + answer.validMs;
  dropExpired(lease, at);
  if (!answer.isRenewed) {
    lease.owner = undefined;
  }
  addStamp(lease, owner, answer.returnLimit, at);
};

/** The denial that applies to a request of `rank`, if any. */
export const findDenial = (lease: HolderLease, rank: ClassRank, at: number): Denial | undefined => {
  const { denial } = lease;
  return denial !== undefined && denial.untilAt > at && rank >= denial.rank ? denial : undefined;
};
