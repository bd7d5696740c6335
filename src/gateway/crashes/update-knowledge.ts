/** Takes what is newly known of a request under which replicas have ended, logs it, and has it told. */
import type { GatewayEffect } from '../effect.js';
import type { BeliefChange } from '../log/log-event.js';
import type { Fingerprint } from '../model/request.js';
import type { GatewayState } from '../state.js';
import { addServed, BLOCKING_ROUNDS, type CrashKnowledge, isNews } from './crash-record.js';

/**
 * News that can wait are told together after this time, in milliseconds. Most requests that were running when replicas
 * ended for another cause are answered by other replicas meanwhile, and nothing is told of them.
 */
const TELL_TOGETHER_MS = 100;

/**
 * Between two messages to the same gateway lies so much time, in milliseconds: where many replicas end together, what is
 * known of all that they ran goes in few messages. A caller that was refused is at another gateway after some 10 ms.
 */
const TELL_APART_MS = 4;

/**
 * Rounds from which a suspicion is logged, told again and again, and kept in the store: one is met by every request that
 * was at a replica that ended, and the one after two blocks the request.
 */
export const SERIOUS_ROUNDS = 2;

/** Has news told by a time. */
export const tellBy = ({ crashes }: GatewayState, wantedAt: number): GatewayEffect[] => {
  const at = Math.max(wantedAt, crashes.toldAt + TELL_APART_MS);
  if (crashes.tellAt !== undefined && crashes.tellAt <= at) {
    return [];
  }
  crashes.tellAt = at;
  return [{ type: 'set-crash-news-timer', at }];
};

/** Has what is known of a request told at once, unless others know it. */
const tellAtOnce = (state: GatewayState, fingerprint: Fingerprint, at: number): GatewayEffect[] =>
  state.crashes.untold.has(fingerprint) ? tellBy(state, at) : [];

/** An answer that shows that a replica can run a request. */
export interface SeenAnswer {
  readonly replica: string;
  readonly status: number;
}

/** How knowledge came, and how soon others need it. */
export interface UpdateOrigin {
  /** This gateway's name, or that of the one that told it. */
  readonly from: string;
  /** The answer that was seen, where it is one. */
  readonly answer?: SeenAnswer;
  /** Told at once: the request may be on its way to another gateway. */
  readonly isUrgent: boolean;
}

const describeChange = (
  fingerprint: Fingerprint,
  before: CrashKnowledge,
  after: CrashKnowledge,
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
export const updateKnowledge = (
  state: GatewayState,
  fingerprint: Fingerprint,
  after: CrashKnowledge,
  origin: UpdateOrigin,
  at: number,
): GatewayEffect[] => {
  const { from, isUrgent } = origin;
  const { memory, untold, kept } = state.crashes;
  const before = memory.find(fingerprint, at);
  if (after === before) {
    return [];
  }
  memory.put(fingerprint, after);
  if (!isNews(before, after)) {
    return isUrgent ? tellAtOnce(state, fingerprint, at) : [];
  }
  untold.add(fingerprint);
  if (after.rounds < SERIOUS_ROUNDS) {
    kept.delete(fingerprint);
  } else if (after.rounds > before.rounds && from === state.settings.node) {
    kept.add(fingerprint);
  }
  const change = describeChange(fingerprint, before, after, origin, at);
  const level = change?.event === 'request-blocked' ? 'warn' : 'info';
  const log: GatewayEffect[] =
    change === undefined ? [] : [{ type: 'write-log', level, part: 'request', change }];
  return [...log, ...tellBy(state, isUrgent ? at : at + TELL_TOGETHER_MS)];
};

/**
 * A replica has answered the request: what was seen of it before no longer counts.
 *
 * @param answer - undefined where a feeder has it
 */
export const noteServed = (
  state: GatewayState,
  fingerprint: Fingerprint,
  answer: SeenAnswer | undefined,
  at: number,
): GatewayEffect[] => {
  const { memory, untold, told } = state.crashes;
  if (!told.has(fingerprint)) {
    untold.delete(fingerprint);
    memory.remove(fingerprint);
    return [];
  }
  const known = memory.find(fingerprint, at);
  const served = addServed(known, at);
  const isAwaited = known.trialUntil > at;
  const seen = answer === undefined ? {} : { answer };
  const origin = { from: state.settings.node, ...seen, isUrgent: isAwaited };
  return updateKnowledge(state, fingerprint, served, origin, at);
};
