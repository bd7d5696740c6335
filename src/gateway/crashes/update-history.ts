/** Takes what is newly known of a request under which replicas have ended, logs it, and has it told. */
import type { GatewayEffect } from '../effect.js';
import type { BeliefChange } from '../log/log-event.js';
import type { Fingerprint } from '../model/request.js';
import type { GatewayState } from '../state.js';
import {
  recordAnswer,
  BLOCKING_ROUNDS,
  type CrashHistory,
  isWorthPublishing,
} from './crash-history.js';

/**
 * News that can wait are told together after this time, in milliseconds. Most requests that were running when replicas
 * ended for another cause are answered by other replicas meanwhile, and nothing is told of them.
 */
const PUBLISH_BATCH_MS = 100;

/**
 * Between two messages to the same gateway lies so much time, in milliseconds: where many replicas end together, what is
 * known of all that they ran goes in few messages. A caller that was refused is at another gateway after some 10 ms.
 */
const MIN_PUBLISH_INTERVAL_MS = 4;

/**
 * Rounds from which a suspicion is logged, told again and again, and kept in the store: one is met by every request that
 * was at a replica that ended, and the one after two blocks the request.
 */
export const SERIOUS_ROUNDS = 2;

/** Has news told by a time. */
export const schedulePublish = ({ crashes }: GatewayState, wantedAt: number): GatewayEffect[] => {
  const at = Math.max(wantedAt, crashes.publishedAt + MIN_PUBLISH_INTERVAL_MS);
  if (crashes.publishAt !== undefined && crashes.publishAt <= at) {
    return [];
  }
  crashes.publishAt = at;
  return [{ type: 'set-crash-news-timer', at }];
};

/** Has what is known of a request told at once, unless others know it. */
const schedulePublishNow = (
  state: GatewayState,
  fingerprint: Fingerprint,
  at: number,
): GatewayEffect[] => (state.crashes.pending.has(fingerprint) ? schedulePublish(state, at) : []);

/** An answer that shows that a replica can run a request. */
export interface ObservedAnswer {
  readonly replica: string;
  readonly status: number;
}

/** How knowledge came, and how soon others need it. */
export interface UpdateOrigin {
  /** This gateway's name, or that of the one that told it. */
  readonly from: string;
  /** The answer that was seen, where it is one. */
  readonly answer?: ObservedAnswer;
  /** Told at once: the request may be on its way to another gateway. */
  readonly isUrgent: boolean;
}

const describeChange = (
  fingerprint: Fingerprint,
  before: CrashHistory,
  after: CrashHistory,
  { from, answer }: UpdateOrigin,
  at: number,
): BeliefChange | undefined => {
  if (after.level > before.level) {
    const forMs = Math.round(after.trialDueAt - at);
    return { event: 'request-blocked', fingerprint, times: after.level, forMs, from };
  }
  const { rounds } = after;
  if (rounds > before.rounds && rounds >= SERIOUS_ROUNDS) {
    const blockingRounds = BLOCKING_ROUNDS;
    return { event: 'request-suspected', fingerprint, rounds, blockingRounds, from };
  }
  return before.rounds >= SERIOUS_ROUNDS && rounds === 0
    ? { event: 'request-cleared', fingerprint, from, ...answer }
    : undefined;
};

/** Takes what is known of a request now. */
export const updateHistory = (
  state: GatewayState,
  fingerprint: Fingerprint,
  after: CrashHistory,
  origin: UpdateOrigin,
  at: number,
): GatewayEffect[] => {
  const { from, isUrgent } = origin;
  const { histories: histories, pending: pending, kept } = state.crashes;
  const before = histories.find(fingerprint, at);
  if (after === before) {
    return [];
  }
  histories.put(fingerprint, after);
  if (!isWorthPublishing(before, after)) {
    return isUrgent ? schedulePublishNow(state, fingerprint, at) : [];
  }
  pending.add(fingerprint);
  if (after.rounds < SERIOUS_ROUNDS) {
    kept.delete(fingerprint);
  } else if (after.rounds > before.rounds && from === state.settings.node) {
    kept.add(fingerprint);
  }
  const change = describeChange(fingerprint, before, after, origin, at);
  const level = change?.event === 'request-blocked' ? 'warn' : 'info';
  const log: GatewayEffect[] =
    change === undefined ? [] : [{ type: 'write-log', level, part: 'request', change }];
  return [...log, ...schedulePublish(state, isUrgent ? at : at + PUBLISH_BATCH_MS)];
};

/**
 * A replica has answered the request: what was seen of it before no longer counts.
 *
 * @param answer - undefined where a feeder has it
 */
export const recordServedRequest = (
  state: GatewayState,
  fingerprint: Fingerprint,
  answer: ObservedAnswer | undefined,
  at: number,
): GatewayEffect[] => {
  const { histories: histories, pending: pending, knownToPeers: knownToPeers } = state.crashes;
  if (!knownToPeers.has(fingerprint)) {
    pending.delete(fingerprint);
    histories.remove(fingerprint);
    return [];
  }
  const history = histories.find(fingerprint, at);
  const served = recordAnswer(history, at);
  const isAwaited = history.trialUntil > at;
  const seen = answer === undefined ? {} : { answer };
  const origin = { from: state.settings.node, ...seen, isUrgent: isAwaited };
  return updateHistory(state, fingerprint, served, origin, at);
};
