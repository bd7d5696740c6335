/** Admits or refuses requests that waited for a token, when an answer arrives or is overdue. */
import type { GatewayEffect } from '../effect.js';
import type { PeerRequestAnswered } from '../event.js';
import type { TokenAnswer } from '../model/peer-request.js';
import type { CallId } from '../model/request.js';
import { routeRequest } from '../requests/accept-request.js';
import { refuseCall } from '../requests/finish.js';
import type { GatewayState } from '../state.js';
import { askNext, type AskOutcome, deny, leaseOf, noteTimeout } from './ask-tokens.js';
import { IMMEDIATE_MS } from './divide-quota.js';
import { applyLease, consumeLeased, type Denial, type HolderLease } from './holder-lease.js';
import type { TokenExchange, WaitingCall } from './quota-state.js';
import { refuseToken } from './take-token.js';

/** Routes a request that has a token. */
const admit = (state: GatewayState, { event }: WaitingCall, at: number): GatewayEffect[] => {
  const { quotas } = state;
  quotas.waiting.delete(event.call);
  quotas.granted.add(event.call);
  const effects = routeRequest(state, event, at);
  quotas.granted.delete(event.call);
  return effects;
};

const refuse = (
  state: GatewayState,
  { event, tenant }: WaitingCall,
  denial: Denial,
  at: number,
): GatewayEffect[] => {
  state.quotas.waiting.delete(event.call);
  const { reason, retryAfterMs, limit } = refuseToken(state, tenant, denial, [], at);
  return refuseCall(state, event, reason, retryAfterMs, at, limit);
};

const applyOutcome = (
  state: GatewayState,
  waiting: WaitingCall,
  outcome: AskOutcome,
  at: number,
): GatewayEffect[] => {
  switch (outcome.type) {
    case 'waiting':
      return [...outcome.effects];
    case 'granted':
      return [...outcome.effects, ...admit(state, waiting, at)];
    case 'denied':
      return [...outcome.effects, ...refuse(state, waiting, outcome.denial, at)];
  }
};

/** Requests of a tenant that wait, the one that a token was requested for first. */
const waitingOf = (
  { quotas }: GatewayState,
  { tenant, call }: TokenExchange,
): readonly WaitingCall[] => {
  const all = [...quotas.waiting.values()].filter((waiting) => waiting.tenant.name === tenant);
  const isFirst = (waiting: WaitingCall): boolean => waiting.event.call === call;
  return [...all.filter(isFirst), ...all.filter((waiting) => !isFirst(waiting))];
};

/** Admits waiting requests with the tokens of an answer, then with leased ones. */
const admitWith = (
  state: GatewayState,
  lease: HolderLease,
  exchange: TokenExchange,
  tokens: number,
  at: number,
): GatewayEffect[] => {
  if (state.quotas.waiting.size === 0) {
    return [];
  }
  let left = tokens;
  return waitingOf(state, exchange).flatMap((waiting) => {
    if (left > 0) {
      left -= 1;
      return admit(state, waiting, at);
    }
    return consumeLeased(lease, at) ? admit(state, waiting, at) : [];
  });
};

/** Refuses the waiting requests to which a decision of the owner applies. */
const refuseWaiting = (
  state: GatewayState,
  exchange: TokenExchange,
  denial: Denial,
  at: number,
): GatewayEffect[] =>
  waitingOf(state, exchange)
    .filter(({ rank }) => rank >= denial.rank)
    .flatMap((waiting) => refuse(state, waiting, denial, at));

/** Handles an answer without a token for the request that needs one. */
const handleShort = (
  state: GatewayState,
  lease: HolderLease,
  exchange: TokenExchange,
  answer: TokenAnswer,
  at: number,
): GatewayEffect[] => {
  const waiting = exchange.call === undefined ? undefined : state.quotas.waiting.get(exchange.call);
  if (waiting === undefined) {
    return [];
  }
  const { availableInMs } = answer;
  const by = exchange.peer;
  if (answer.role === 'owner') {
    const decision = { reason: 'over-limit', rank: waiting.rank, by } as const;
    return refuseWaiting(state, exchange, deny(state, lease, decision, availableInMs, at), at);
  }
  if (answer.role === 'backup') {
    waiting.shortOf = { by, availableInMs };
  }
  return waiting.askedOf === by
    ? applyOutcome(state, waiting, askNext(state, waiting, at), at)
    : [];
};

/** Handles the answer to this gateway's request for tokens. */
export const handleTokenAnswer = (
  state: GatewayState,
  { id, at }: PeerRequestAnswered,
  answer: TokenAnswer,
): GatewayEffect[] => {
  const { quotas } = state;
  const exchange = quotas.exchanges.get(id);
  if (exchange === undefined) {
    return [];
  }
  quotas.exchanges.delete(id);
  const lease = leaseOf(state, exchange.tenant, at);
  if (answer.role === 'owner') {
    applyLease(lease, exchange.peer, answer, exchange.sentAt, at);
  }
  const tokens = at - exchange.sentAt <= IMMEDIATE_MS ? answer.granted : 0;
  if (tokens > 0) {
    lease[answer.role === 'backup' ? 'backupAt' : 'grantedAt'] = at;
  }
  return [
    ...admitWith(state, lease, exchange, tokens, at),
    ...(answer.granted === 0 ? handleShort(state, lease, exchange, answer, at) : []),
  ];
};

/** Handles the timer of a request that waits for a token: the gateway asked did not answer in time. */
export const handleTokenDue = (
  state: GatewayState,
  call: CallId,
  at: number,
): GatewayEffect[] | undefined => {
  const waiting = state.quotas.waiting.get(call);
  if (waiting === undefined) {
    return undefined;
  }
  noteTimeout(state, waiting, at);
  return applyOutcome(state, waiting, askNext(state, waiting, at), at);
};
