/** How a gateway learns what the store holds: from the store itself, or from gateways that read it. */
import type { PeerRecord } from '../model/peer-record.js';
import type { GatewayBounds } from '../settings.js';
import type { FollowerId, KnownPositions } from './reader-update.js';

/**
 * The bounds of the operators are divided like this between the steps of a failure: a reader falls
 * silent, the next ones are asked, the store is read. With bounds of 3 s: a word each 0.5 s, silence
 * after 1.2 s, the next reader after 0.3 s more; lists of the store take some 0.1 s.
 */
const HEARTBEAT_FRACTION = 1 / 6;
const SILENCE_FRACTION = 0.4;
const FIRST_UPDATE_FRACTION = 0.1;

/**
 * A gateway whose readers have lost the store, and that finds it again itself, gives them this part of the
 * bounds to find it too: they look for it more often, and hundreds of gateways would list it at once.
 */
const REGAIN_FRACTION = 0.2;

/** Times of following, in milliseconds. */
export interface FollowTiming {
  /** A reader tells its followers so often that it lives. */
  readonly heartbeatMs: number;
  /** A reader that has said nothing for so long no longer counts as current. */
  readonly silenceMs: number;
  /** A reader that was asked says its first word within this time. */
  readonly firstUpdateMs: number;
  /** Readers that lost the store find it within this time after this gateway has. */
  readonly regainMs: number;
}

/** The times that fit the bounds within which changes must be known. */
export const followTiming = ({ drainMs, configurationMs }: GatewayBounds): FollowTiming => {
  const boundMs = Math.min(drainMs, configurationMs);
  return {
    heartbeatMs: boundMs * HEARTBEAT_FRACTION,
    silenceMs: boundMs * SILENCE_FRACTION,
    firstUpdateMs: boundMs * FIRST_UPDATE_FRACTION,
    regainMs: boundMs * REGAIN_FRACTION,
  };
};

/** A gateway that was asked to tell what it reads. */
export interface Source {
  readonly peer: PeerRecord;
  readonly requestedAt: number;
  /** When it last said something. */
  lastUpdateAt: number;
  /** Its last word on whether it is current; undefined before its first. */
  isCurrent: boolean | undefined;
  /** The version of the configuration that it was told, as it has an older one. */
  offeredVersion: number | undefined;
  /** It tells no eras, and this gateway knows one: what it tells cannot be compared. */
  isIncomparable: boolean;
}

/** A gateway that this one tells. */
export interface Follower {
  readonly positions: KnownPositions;
  /** It was told all that is known; what changes is told from then on. */
  isSynchronized: boolean;
}

/** The order of all listed gateways; kept until the list changes. */
export interface ReaderOrder {
  readonly generation: number;
  /** Gateways of the own zone, the preferred one first. */
  readonly ownZone: readonly PeerRecord[];
  /** Gateways of each other zone alike; zones of the own region first. */
  readonly otherZones: readonly (readonly PeerRecord[])[];
}

/** Who tells this gateway, and whom it tells. */
export interface ReadingState {
  /** This gateway reads the store itself. */
  isReading: boolean;
  /** Gateways that were asked, by name; the preferred one comes first. */
  readonly sources: Map<string, Source>;
  readonly followers: Map<FollowerId, Follower>;
  /** What the followers were told last. */
  publishedCurrent: boolean | undefined;
  /** When they were told it. */
  statusPublishedAt: number;
  /** A gateway that has just started and can serve asks its first reader after this time. */
  followFrom: number;
  /** The order in which gateways are asked, as it was last worked out. */
  order: ReaderOrder | undefined;
}

/** Creates the state of a gateway that has read nothing. */
export const createReadingState = (): ReadingState => ({
  isReading: false,
  sources: new Map(),
  followers: new Map(),
  publishedCurrent: undefined,
  statusPublishedAt: Number.NEGATIVE_INFINITY,
  followFrom: 0,
  order: undefined,
});
