/**
 * Chooses the suspected requests that this gateway names in its entry in the store. They survive its restart there, and
 * gateways that start or were cut off read them. A gateway that does not know of the first round counts the next crash as
 * the first one again, and the request crashes another replica before it is blocked.
 */
import type { Fingerprint } from '../model/request.js';
import type { SuspectedRequest } from '../model/peer-record.js';
import { SERIOUS_ROUNDS, type CrashHistory } from './crash-history.js';
import type { CrashState } from './crash-state.js';

/**
 * Time after which a request with a single round is written to the store, in milliseconds. Other replicas answer most
 * requests that a crashed replica was running before that, and each write is paid for.
 */
const FIRST_ROUND_DELAY_MS = 500;

/** Maximum number of suspected requests in an entry. */
const MAX_SUSPECTS = 32;

/** Names a request in the entry at once. */
export const keepSuspect = ({ kept, firstRounds }: CrashState, fingerprint: Fingerprint): void => {
  firstRounds.delete(fingerprint);
  kept.add(fingerprint);
};

/** No longer names a request in the entry. */
export const dropSuspect = ({ kept, firstRounds }: CrashState, fingerprint: Fingerprint): void => {
  firstRounds.delete(fingerprint);
  kept.delete(fingerprint);
};

/**
 * Follows a change of a history: a request with several rounds is kept at once, one with a single round after a delay.
 *
 * @param isObserved - this gateway has itself seen the crash
 */
export const followRounds = (
  crashes: CrashState,
  fingerprint: Fingerprint,
  before: CrashHistory,
  after: CrashHistory,
  isObserved: boolean,
  at: number,
): void => {
  if (after.rounds === 0) {
    dropSuspect(crashes, fingerprint);
  } else if (!isObserved || after.rounds <= before.rounds) {
    return;
  } else if (after.rounds >= SERIOUS_ROUNDS) {
    keepSuspect(crashes, fingerprint);
  } else if (!crashes.kept.has(fingerprint)) {
    crashes.firstRounds.set(fingerprint, at + FIRST_ROUND_DELAY_MS);
  }
};

/** Keeps the requests with a single round whose delay is over. */
export const keepDueFirstRounds = (crashes: CrashState, at: number): void => {
  for (const [fingerprint, dueAt] of crashes.firstRounds) {
    if (dueAt <= at) {
      keepSuspect(crashes, fingerprint);
    }
  }
};

/** When the next request with a single round is kept; infinity if none is waiting. */
export const nextFirstRoundAt = ({ firstRounds }: CrashState): number =>
  Math.min(Number.POSITIVE_INFINITY, ...firstRounds.values());

/** The suspected requests of the entry: those with several rounds take precedence, then the newest. */
export const listSuspects = ({ kept, histories }: CrashState): readonly SuspectedRequest[] => {
  const suspects = [...kept].map((fingerprint) => ({
    fingerprint,
    rounds: histories.all().get(fingerprint)?.rounds ?? 0,
  }));
  const serious = suspects.filter(({ rounds }) => rounds >= SERIOUS_ROUNDS);
  const others = suspects.filter(({ rounds }) => rounds > 0 && rounds < SERIOUS_ROUNDS);
  return [...others, ...serious].slice(-MAX_SUSPECTS);
};
