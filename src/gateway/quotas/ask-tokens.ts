/** Asks the gateways that keep a tenant's limit for tokens: the owner first, then the backups, one after another. */
import type { GatewayEffect } from '../effect.js';
import type { PeerRecord } from '../model/peer-record.js';
import type { TokenRequest } from '../model/peer-request.js';
import type { CallId } from '../model/request.js';
import type { ClassRank } from '../scheduling/class-rank.js';
import type { GatewayState } from '../state.js';
import { LEASE_MS } from './divide-quota.js';
import {
  addStamp,
  createHolderLease,
  type Denial,
  dropExpired,
  type HolderLease,
  reportLease,
  wantedAhead,
} from './holder-lease.js';
import { type GrantedHere, grantHere } from './keep-quota.js';
import { setQuotasTimer } from './quotas-timer.js';
import type { WaitingCall } from './quota-state.js';

/** How long the owner is not waited for after it failed to answer, in milliseconds; a late answer ends it. */
const AVOID_OWNER_MS = 500;

/** Interval of requests to an owner that is not waited for, in milliseconds. */
const PROBE_OWNER_MS = 200;

/** How long requests are refused locally after no gateway had a token or none answered, in milliseconds. */
const UNAVAILABLE_MS = 100;

/** Longest time for which requests are refused locally without asking the owner again, in milliseconds. */
const MAX_DENIAL_MS = 2_000;

/** Jitter of the time after which the owner is asked again, and of retry delays, as a share of it. */
const JITTER_SHARE = 0.5;

/** Range of process identifiers. */
const PROCESS_RANGE = 0x7fff_ffff;

/** Outcome of asking for a token. */
export type AskOutcome =
  | { readonly type: 'granted'; readonly effects: readonly GatewayEffect[] }
  | { readonly type: 'waiting'; readonly effects: readonly GatewayEffect[] }
  | {
      readonly type: 'denied';
      readonly denial: Denial;
      readonly effects: readonly GatewayEffect[];
    };

/** The state of a tenant at this gateway; created with its first request. */
export const leaseOf = ({ quotas }: GatewayState, tenant: string, at: number): HolderLease => {
  const known = quotas.leases.get(tenant);
  if (known !== undefined) {
    return known;
  }
  const created = createHolderLease(tenant, quotas.usedBefore, at);
  quotas.leases.set(tenant, created);
  return created;
};

const processOf = ({ quotas, random }: GatewayState): number => {
  quotas.process ??= Math.floor(random.next() * PROCESS_RANGE);
  return quotas.process;
};

/** Sends a request for tokens; `call` is the request that waits for one. */
const sendTokenRequest = (
  state: GatewayState,
  lease: HolderLease,
  peer: PeerRecord,
  isOwner: boolean,
  call: CallId | undefined,
  rank: ClassRank,
  at: number,
): GatewayEffect[] => {
  const { quotas } = state;
  const id = state.nextPeerRequest;
  state.nextPeerRequest += 1;
  quotas.sequence += 1;
  const { sequence } = quotas;
  const report = isOwner
    ? reportLease(lease, sequence, at)
    : { used: 0, unused: 0, returned: 0, returnLimit: 0 };
  const request: TokenRequest = {
    type: 'tokens',
    tenant: lease.tenant,
    process: processOf(state),
    sequence,
    ...report,
    needed: call === undefined ? 0 : 1,
    ahead: isOwner ? Math.max(0, wantedAhead(lease, at) - lease.unused) : 0,
    rank,
  };
  quotas.exchanges.set(id, { tenant: lease.tenant, peer: peer.name, sentAt: at, call });
  return [{ type: 'send-peer-request', id, peer, request }, ...setQuotasTimer(state, at)];
};

const ownerOf = ({ quotas, settings }: GatewayState, tenant: string, at: number) => {
  const [owner] = quotas.owners.rank(tenant, settings.node, at).asked;
  return owner?.name === settings.node ? undefined : owner;
};

/** Reports to the owner without waiting for its answer, to lease tokens ahead or to return unused ones. */
export const reportToOwner = (
  state: GatewayState,
  lease: HolderLease,
  at: number,
): GatewayEffect[] => {
  const owner = ownerOf(state, lease.tenant, at);
  return owner === undefined ? [] : sendTokenRequest(state, lease, owner, true, undefined, 0, at);
};

/**
 * Gateways to ask for a token, without backups that are suspected of having failed. An owner that did not answer in time is
 * sent reports, but not waited for.
 */
export const chooseCandidates = (
  state: GatewayState,
  lease: HolderLease,
  at: number,
): { readonly candidates: readonly PeerRecord[]; readonly effects: GatewayEffect[] } => {
  const { quotas, settings, peers } = state;
  const [owner, ...others] = quotas.owners.rank(lease.tenant, settings.node, at).asked;
  const backups = others.filter(({ name }) => !peers.isSuspect(name, at));
  const isAvoided =
    owner !== undefined &&
    owner.name !== settings.node &&
    (at < lease.avoidOwnerUntil || peers.isSuspect(owner.name, at));
  if (!isAvoided) {
    return { candidates: owner === undefined ? [] : [owner, ...backups], effects: [] };
  }
  const isProbeDue = at - lease.sentAt >= PROBE_OWNER_MS;
  return {
    candidates: backups,
    effects: isProbeDue ? reportToOwner(state, lease, at) : [],
  };
};

/** Refuses further requests of a tenant locally until tokens are expected. */
export const deny = (
  { random }: GatewayState,
  lease: HolderLease,
  denial: Pick<Denial, 'reason' | 'rank' | 'by'>,
  availableInMs: number,
  at: number,
): Denial => {
  const bounded = Math.min(MAX_DENIAL_MS, availableInMs);
  lease.denial = {
    ...denial,
    since: at,
    untilAt: at + bounded * (1 + JITTER_SHARE * random.next()),
    tokenAt: at + availableInMs,
  };
  return lease.denial;
};

const denyUnavailable = (
  state: GatewayState,
  lease: HolderLease,
  { shortOf, rank }: WaitingCall,
  at: number,
): Denial => {
  const by = shortOf?.by ?? '';
  const availableInMs = Math.max(UNAVAILABLE_MS, shortOf?.availableInMs ?? 0);
  return deny(state, lease, { reason: 'limit-unavailable', rank, by }, availableInMs, at);
};

/** Applies what this gateway itself granted; undefined if another gateway must be asked. */
const applyGrantedHere = (
  state: GatewayState,
  lease: HolderLease,
  waiting: WaitingCall,
  grant: GrantedHere,
  at: number,
): Denial | 'granted' | undefined => {
  if (grant.granted > 0) {
    lease.backupAt = grant.role === 'backup' ? at : lease.backupAt;
    if (grant.returnLimit !== undefined) {
      addStamp(lease, state.settings.node, grant.returnLimit, at);
    }
    return 'granted';
  }
  const { availableInMs } = grant;
  const by = state.settings.node;
  if (grant.role === 'owner') {
    return deny(state, lease, { reason: 'over-limit', rank: waiting.rank, by }, availableInMs, at);
  }
  if (grant.role === 'backup') {
    waiting.shortOf = { by, availableInMs };
  }
  return undefined;
};

/** Asks the next candidates for a token, this gateway itself without a message. */
export const askNext = (state: GatewayState, waiting: WaitingCall, at: number): AskOutcome => {
  const { settings, quotas } = state;
  const { event, tenant, rank, stepMs, candidates } = waiting;
  const lease = leaseOf(state, tenant.name, at);
  const effects: GatewayEffect[] = [];
  for (;;) {
    const candidate = candidates[waiting.next];
    if (candidate === undefined) {
      quotas.waiting.delete(event.call);
      return { type: 'denied', denial: denyUnavailable(state, lease, waiting, at), effects };
    }
    waiting.next += 1;
    waiting.askedOf = candidate.name;
    if (candidate.name !== settings.node) {
      const isOwner = candidate.name === ownerOf(state, tenant.name, at)?.name;
      quotas.waiting.set(event.call, waiting);
      effects.push(...sendTokenRequest(state, lease, candidate, isOwner, event.call, rank, at), {
        type: 'set-request-timer',
        call: event.call,
        at: at + stepMs,
      });
      return { type: 'waiting', effects };
    }
    const here = grantHere(state, tenant.name, rank, at);
    effects.push(...here.effects);
    const applied = applyGrantedHere(state, lease, waiting, here.grant, at);
    if (applied !== undefined) {
      quotas.waiting.delete(event.call);
      return applied === 'granted'
        ? { type: 'granted', effects }
        : { type: 'denied', denial: applied, effects };
    }
  }
};

/** Notes that the candidate asked last did not answer in time. */
export const noteTimeout = (state: GatewayState, waiting: WaitingCall, at: number): void => {
  const owner = ownerOf(state, waiting.tenant.name, at);
  if (owner !== undefined && waiting.askedOf === owner.name) {
    leaseOf(state, waiting.tenant.name, at).avoidOwnerUntil = at + AVOID_OWNER_MS;
  }
};

/** Renews a lease that is about to expire, and returns the tokens that recent demand does not need. */
export const renewLease = (
  state: GatewayState,
  lease: HolderLease,
  withinMs: number,
  at: number,
): GatewayEffect[] => {
  dropExpired(lease, at);
  const isExpiring = lease.unused > 0 && lease.expiresAt - at < withinMs;
  if (!isExpiring && lease.returned === 0) {
    return [];
  }
  lease.unused = Math.min(lease.unused, wantedAhead(lease, at));
  return reportToOwner(state, lease, at);
};

/** Forgets requests to which no answer can be of use any more. */
export const dropOldExchanges = ({ quotas }: GatewayState, at: number): void => {
  for (const [id, { sentAt }] of quotas.exchanges) {
    if (at - sentAt < LEASE_MS) {
      return;
    }
    quotas.exchanges.delete(id);
  }
};
