/** State and timing of the key confirmation. */
import type { PeerRequestId } from '../model/peer-request.js';
import type { StorePosition } from '../store/store-position.js';
import type { KeysHash } from '../tenants/keys-hash.js';

/** A confirmation: everything that the store acknowledged before `confirmedAt` is covered by `version`. */
export interface VersionConfirmation {
  readonly version: number;
  /** Identifies the keys of that version. */
  readonly keysHash: KeysHash;
  /** When the read was sent, or a later bound of it, in milliseconds on this gateway's clock. */
  readonly confirmedAt: number;
  /** `store`, or the name of the gateway that answered. */
  readonly source: string;
}

/** What this gateway knows about how recent its API keys are. Times are in milliseconds on its clock. */
export interface KeyConfirmation {
  /** Confirmation is required by the settings and the configuration in force. */
  isActive: boolean;
  /** Removals of keys that the store acknowledged before this time are in force here. */
  confirmedAt: number;
  /** Source of that confirmation: `store`, or the name of a gateway. */
  source: string | undefined;
  /** Latest confirmation that another gateway has given. */
  peerConfirmedAt: number;
  /** Whether the keys were confirmed when this was last determined; each change of it is logged. */
  isConfirmed: boolean;
  /** Requests with keys are held until this time rather than refused: a confirmation is about to arrive. */
  awaitedUntil: number;
  /** A confirmation of a version that is not in force here yet. */
  pending: VersionConfirmation | undefined;
  /** The last version above the one in force that confirming reads have shown, and how often; undefined before. */
  newer: { readonly version: number; readonly count: number } | undefined;
  /** Position at which a confirming read last showed what is in force here. */
  verified: StorePosition | undefined;
  /** Position at which the configuration was written that is unreadable, with no readable one missed before it. */
  unreadable: StorePosition | undefined;
  /** When a confirming read is repeated; infinity if it is not. */
  repeatReadAt: number;
  /** When each unanswered request to another gateway was sent. */
  readonly asked: Map<PeerRequestId, number>;
  /** When the reader is asked next. */
  askDueAt: number;
  /** Earliest time at which all known readers are asked. */
  askAllNotBefore: number;
  /** Consecutive requests to all readers that brought no recent confirmation. */
  askAllCount: number;
  /** Consecutive answers that confirmed nothing while the keys were unconfirmed. */
  uselessAnswers: number;
  /** Earliest time at which this gateway makes a confirming read in addition to its probes. */
  readNotBefore: number;
  /** Random number in [0, 1) that spreads the confirming reads of many gateways. */
  readSpread: number;
  /** Time for which the timer is set; undefined if it is not set. */
  timerAt: number | undefined;
}

/** Creates the state of a gateway without a confirmation. */
export const createKeyConfirmation = (): KeyConfirmation => ({
  isActive: false,
  confirmedAt: Number.NEGATIVE_INFINITY,
  source: undefined,
  peerConfirmedAt: Number.NEGATIVE_INFINITY,
  isConfirmed: false,
  awaitedUntil: Number.NEGATIVE_INFINITY,
  pending: undefined,
  newer: undefined,
  verified: undefined,
  unreadable: undefined,
  repeatReadAt: Number.POSITIVE_INFINITY,
  asked: new Map(),
  askDueAt: Number.POSITIVE_INFINITY,
  askAllNotBefore: Number.NEGATIVE_INFINITY,
  askAllCount: 0,
  uselessAnswers: 0,
  readNotBefore: Number.NEGATIVE_INFINITY,
  readSpread: 0,
  timerAt: undefined,
});

/**
 * Margin of the time limit, as a fraction: 1% for clocks that differ in rate, and 2% (100 ms with a limit of 5 s) for
 * suspensions of the machine that are too short for the gateway's clock to detect.
 */
const CLOCK_MARGIN_SHARE = 0.03;

/**
 * Ages and intervals as fractions of the time limit. With 5 s, the gateway that reads for all zones confirms at every second
 * probe, each 1.5 s. The others ask when the next read is expected to have been made: the readers of other zones at an age of
 * 1.65 to 1.75 s, followers at 2 to 2.15 s, and again after 0.25 s where the answer was no newer. A confirmation is then at
 * most 2.4 s old, so that all readers are asked only after a fault.
 */
const READ_AGE_SHARE = 0.28;
const READER_ASK_AGE_SHARE = 0.33;
const READER_ASK_SPREAD_SHARE = 0.02;
const FOLLOWER_ASK_AGE_SHARE = 0.4;
const FOLLOWER_ASK_SPREAD_SHARE = 0.03;
const ASK_AGAIN_SHARE = 0.05;
const FOLLOWER_ASK_SHARE = 0.2;
const ASK_ALL_SHARE = 0.5;
const MAX_ASK_ALL_INTERVAL_SHARE = 0.5;
const PROBE_READ_SHARE = 0.44;
const OWN_READ_SHARE = 0.55;
const OWN_READ_SPREAD_SHARE = 0.15;
const OWN_READ_INTERVAL_SHARE = 0.2;

/** Timing of the confirmation, in milliseconds. */
export interface ConfirmationTiming {
  /** Age from which requests with keys are refused. */
  readonly limitMs: number;
  /** Age from which the gateway that reads for all zones makes its probes as confirming reads. */
  readonly readAgeMs: number;
  /** Age from which a reader asks the gateway that reads for all zones, and the span over which readers do so. */
  readonly readerAskAgeMs: number;
  readonly readerAskSpreadMs: number;
  /** Age from which a follower asks its reader, and the span over which followers do so. */
  readonly followerAskAgeMs: number;
  readonly followerAskSpreadMs: number;
  /** Interval at which they ask again until they are given a newer confirmation. */
  readonly askAgainMs: number;
  /** The same interval while confirmations are so old that all readers are asked as well. */
  readonly followerAskMs: number;
  /** Age from which all known readers are asked. */
  readonly askAllAgeMs: number;
  /** Longest interval between two requests to all readers. */
  readonly maxAskAllIntervalMs: number;
  /** Age of the other gateways' confirmations from which probes of the store are made as confirming reads. */
  readonly probeReadAgeMs: number;
  /** Age from which a confirming read is made in addition to the probes, and the span over which gateways do so. */
  readonly ownReadAgeMs: number;
  readonly ownReadSpreadMs: number;
  /** Shortest interval between two such reads. */
  readonly ownReadIntervalMs: number;
}

/** The timing for a time limit. */
export const confirmationTiming = (revocationMs: number): ConfirmationTiming => ({
  limitMs: revocationMs * (1 - CLOCK_MARGIN_SHARE),
  followerAskMs: revocationMs * FOLLOWER_ASK_SHARE,
  readAgeMs: revocationMs * READ_AGE_SHARE,
  readerAskAgeMs: revocationMs * READER_ASK_AGE_SHARE,
  readerAskSpreadMs: revocationMs * READER_ASK_SPREAD_SHARE,
  followerAskAgeMs: revocationMs * FOLLOWER_ASK_AGE_SHARE,
  followerAskSpreadMs: revocationMs * FOLLOWER_ASK_SPREAD_SHARE,
  askAgainMs: revocationMs * ASK_AGAIN_SHARE,
  askAllAgeMs: revocationMs * ASK_ALL_SHARE,
  maxAskAllIntervalMs: revocationMs * MAX_ASK_ALL_INTERVAL_SHARE,
  probeReadAgeMs: revocationMs * PROBE_READ_SHARE,
  ownReadAgeMs: revocationMs * OWN_READ_SHARE,
  ownReadSpreadMs: revocationMs * OWN_READ_SPREAD_SHARE,
  ownReadIntervalMs: revocationMs * OWN_READ_INTERVAL_SHARE,
});
