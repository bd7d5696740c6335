/** Updates the crash history of a request, logs the change and schedules its publication. */
import type { GatewayEffect } from '../effect.js';
import type { StateChange } from '../log/log-event.js';
import type { Fingerprint } from '../model/request.js';
import type { GatewayState } from '../state.js';
import {
  recordAnswer,
  BLOCKING_ROUNDS,
  type CrashHistory,
  isWorthPublishing,
  SERIOUS_ROUNDS,
} from './crash-history.js';
import { dropSuspect, followRounds } from './kept-suspects.js';

/**
 * Updates that are not urgent are published together after this delay, in milliseconds. When replicas crash for another
 * reason, other replicas answer most of the affected requests in the meantime, and nothing is published about these.
 */
const PUBLISH_BATCH_MS = 100;

/**
 * Least time between two messages to the same gateway, in milliseconds. Where many replicas crash together, the
 * histories of all their requests go in few messages. A caller that was refused reaches another gateway after about
 * 10 ms.
 */
const MIN_PUBLISH_INTERVAL_MS = 4;

/** Schedules the publication of pending updates for `wantedAt` at the latest, or as soon as the interval allows. */
export const schedulePublish = ({ crashes }: GatewayState, wantedAt: number): GatewayEffect[] => {
  const at = Math.max(wantedAt, crashes.publishedAt + MIN_PUBLISH_INTERVAL_MS);
  if (crashes.publishAt !== undefined && crashes.publishAt <= at) {
    return [];
  }
  crashes.publishAt = at;
  return [{ type: 'set-crash-update-timer', at }];
};

/** Schedules the immediate publication of a request, if it is pending. */
const schedulePublishNow = (
  state: GatewayState,
  fingerprint: Fingerprint,
  at: number,
): GatewayEffect[] => (state.crashes.pending.has(fingerprint) ? schedulePublish(state, at) : []);

/** An answer which shows that a replica can run a request. */
export interface ObservedAnswer {
  readonly replica: string;
  readonly status: number;
}

/** Where a change of a history comes from, and how soon other gateways need it. */
export interface UpdateOrigin {
  /** This gateway's name, or the name of the gateway that sent the update. */
  readonly from: string;
  /** The answer that cleared the request, where one did. */
  readonly answer?: ObservedAnswer;
  /** The change is published at once, since the request may be on its way to another gateway. */
  readonly isUrgent: boolean;
}

const describeChange = (
  fingerprint: Fingerprint,
  before: CrashHistory,
  after: CrashHistory,
  { from, answer }: UpdateOrigin,
  at: number,
): StateChange | undefined => {
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

/** Replaces the history of a request; logs the change and schedules its publication where it matters to others. */
export const updateHistory = (
  state: GatewayState,
  fingerprint: Fingerprint,
  after: CrashHistory,
  origin: UpdateOrigin,
  at: number,
): GatewayEffect[] => {
  const { from, isUrgent } = origin;
  const { histories, pending } = state.crashes;
  const before = histories.find(fingerprint, at);
  if (after === before) {
    return [];
  }
  histories.put(fingerprint, after);
  if (!isWorthPublishing(before, after)) {
    return isUrgent ? schedulePublishNow(state, fingerprint, at) : [];
  }
  pending.add(fingerprint);
  followRounds(state.crashes, fingerprint, before, after, from === state.settings.node, at);
  const change = describeChange(fingerprint, before, after, origin, at);
  const level = change?.event === 'request-blocked' ? 'warn' : 'info';
  const log: GatewayEffect[] =
    change === undefined ? [] : [{ type: 'write-log', level, part: 'request', change }];
  return [...log, ...schedulePublish(state, isUrgent ? at : at + PUBLISH_BATCH_MS)];
};

/**
 * Records that a replica has answered the request, so that earlier crashes no longer count.
 *
 * @param answer - the answer; undefined where a feeder received it
 */
export const recordServedRequest = (
  state: GatewayState,
  fingerprint: Fingerprint,
  answer: ObservedAnswer | undefined,
  at: number,
): GatewayEffect[] => {
  const { histories, pending, knownToPeers } = state.crashes;
  if (!knownToPeers.has(fingerprint)) {
    pending.delete(fingerprint);
    histories.remove(fingerprint);
    dropSuspect(state.crashes, fingerprint);
    return [];
  }
  const history = histories.find(fingerprint, at);
  const served = recordAnswer(history, at);
  const isAwaited = history.trialUntil > at;
  const seen = answer === undefined ? {} : { answer };
  const origin = { from: state.settings.node, ...seen, isUrgent: isAwaited };
  return updateHistory(state, fingerprint, served, origin, at);
};
