/**
 * Asks other gateways for their confirmations. An answer gives an age by the clock of the gateway that answers, and counts
 * from the time at which this gateway asked, so that neither delays of messages nor differences between clocks matter.
 */
import type { GatewayEffect } from '../effect.js';
import type { PeerRecord } from '../model/peer-record.js';
import { confirmingReader, readersOfAllZones } from '../readers/candidates.js';
import type { GatewayState } from '../state.js';
import type { ConfirmationTiming } from './confirmation-state.js';

/** Interval before the second request to all readers, in milliseconds; doubled with each further one. */
const FIRST_ASK_ALL_INTERVAL_MS = 250;

/** Smallest factor by which intervals are shortened at random, so that many gateways do not ask at the same time. */
const MIN_JITTER = 0.85;

const withJitter = ({ random }: GatewayState, ms: number): number =>
  ms * (MIN_JITTER + (1 - MIN_JITTER) * random.next());

/** Discards requests whose answers would be too old to confirm anything. */
const forgetOldRequests = (
  { keyConfirmation }: GatewayState,
  { limitMs }: ConfirmationTiming,
  at: number,
): void => {
  for (const [id, askedAt] of keyConfirmation.asked) {
    if (at - askedAt < limitMs) {
      break;
    }
    keyConfirmation.asked.delete(id);
  }
};

const ask = (state: GatewayState, peer: PeerRecord, at: number): GatewayEffect => {
  const id = state.nextPeerRequest;
  state.nextPeerRequest += 1;
  state.keyConfirmation.asked.set(id, at);
  return { type: 'send-peer-request', id, peer, request: { type: 'key-confirmation' } };
};

/** The first followed reader that is current. */
const currentSource = ({ reading }: GatewayState): PeerRecord | undefined =>
  [...reading.sources.values()].find(({ isCurrent }) => isCurrent === true)?.peer;

/** Whether this gateway follows a reader that is current. */
export const hasCurrentSource = (state: GatewayState): boolean =>
  currentSource(state) !== undefined;

/** The gateway that is asked regularly: a reader asks the one that reads for all zones, a follower its reader. */
const regularTarget = (state: GatewayState, at: number): PeerRecord | undefined => {
  const reader = state.reading.isReading ? confirmingReader(state, at) : undefined;
  return reader === undefined || reader.name === state.settings.node
    ? currentSource(state)
    : reader;
};

/** Delays the next request to the time at which a newer confirmation than the last one of another gateway is expected. */
export const delayAsking = (
  { keyConfirmation, reading, random }: GatewayState,
  timing: ConfirmationTiming,
): void => {
  const { readerAskAgeMs, readerAskSpreadMs, followerAskAgeMs, followerAskSpreadMs } = timing;
  const [ageMs, spreadMs] = reading.isReading
    ? [readerAskAgeMs, readerAskSpreadMs]
    : [followerAskAgeMs, followerAskSpreadMs];
  const expectedAt = keyConfirmation.peerConfirmedAt + ageMs + spreadMs * random.next();
  keyConfirmation.askDueAt = Math.max(keyConfirmation.askDueAt, expectedAt);
};

/** Asks the gateway that is asked regularly, if there is one. */
export const askReader = (
  state: GatewayState,
  timing: ConfirmationTiming,
  at: number,
): GatewayEffect[] => {
  const { keyConfirmation } = state;
  forgetOldRequests(state, timing, at);
  const isOld = at - keyConfirmation.confirmedAt >= timing.askAllAgeMs;
  const intervalMs = isOld ? timing.followerAskMs : timing.askAgainMs;
  keyConfirmation.askDueAt = at + withJitter(state, intervalMs);
  const target = regularTarget(state, at);
  return target === undefined ? [] : [ask(state, target, at)];
};

/** Asks the readers of all zones, less often each time. */
export const askAllReaders = (
  state: GatewayState,
  timing: ConfirmationTiming,
  at: number,
): GatewayEffect[] => {
  const { keyConfirmation } = state;
  forgetOldRequests(state, timing, at);
  const intervalMs = Math.min(
    timing.maxAskAllIntervalMs,
    FIRST_ASK_ALL_INTERVAL_MS * 2 ** keyConfirmation.askAllCount,
  );
  keyConfirmation.askAllNotBefore = at + withJitter(state, intervalMs);
  keyConfirmation.askAllCount += 1;
  return readersOfAllZones(state, at).map((peer) => ask(state, peer, at));
};
