/** State of how a gateway learns the store's content: from the store itself, or from gateways that read it. */
import type { PeerRecord } from '../model/peer-record.js';
import type { GatewayBounds } from '../settings.js';
import type { FollowerId, KnownPositions } from './reader-update.js';

/**
 * The operator's bounds are divided into these fractions for the steps of a failover: a reader falls silent, the next
 * ones are followed, the store is read. With bounds of 3 s, a heartbeat is due every 0.5 s, a reader counts as silent
 * after 1.2 s, and the next one is followed after another 0.3 s. Listing the store takes about 0.1 s.
 */
const HEARTBEAT_FRACTION = 1 / 6;
const SILENCE_FRACTION = 0.4;
const FIRST_UPDATE_FRACTION = 0.1;

/**
 * When a gateway whose readers have lost the store reaches it again, it waits for this fraction of the bounds so that
 * the readers can reconnect too. Readers probe the store more often, and otherwise hundreds of gateways would list it
 * at once.
 */
const REGAIN_FRACTION = 0.2;

/** Timing of following readers, in milliseconds. */
export interface FollowTiming {
  /** Interval at which a reader sends its status to its followers. */
  readonly heartbeatMs: number;
  /** A reader that has sent nothing for longer than this no longer counts as current. */
  readonly silenceMs: number;
  /** Time within which a newly followed reader must send its first status. */
  readonly firstUpdateMs: number;
  /** Time that readers have to reach the store again after this gateway has. */
  readonly regainMs: number;
}

/** The timing that keeps the bounds within which changes must be known. */
export const followTiming = ({ drainMs, configurationMs }: GatewayBounds): FollowTiming => {
  const boundMs = Math.min(drainMs, configurationMs);
  return {
    heartbeatMs: boundMs * HEARTBEAT_FRACTION,
    silenceMs: boundMs * SILENCE_FRACTION,
    firstUpdateMs: boundMs * FIRST_UPDATE_FRACTION,
    regainMs: boundMs * REGAIN_FRACTION,
  };
};

/** A reader that this gateway follows. */
export interface Source {
  readonly peer: PeerRecord;
  /** When this gateway requested its updates. */
  readonly requestedAt: number;
  /** When it last sent an update; initially `requestedAt`. */
  lastUpdateAt: number;
  /** The value of `isCurrent` in its last status; undefined before the first one. */
  isCurrent: boolean | undefined;
  /** The configuration version that was offered to it, since it has an older one. */
  offeredVersion: number | undefined;
  /** Its updates name no era, but this gateway knows one, so that their positions cannot be compared. */
  isIncomparable: boolean;
}

/** A gateway that follows this one. */
export interface Follower {
  /** Up to where it knows the collections when it joins; empty once it is synchronized. */
  readonly positions: KnownPositions;
  /** It has received everything that this gateway knows, and receives changes from then on. */
  isSynchronized: boolean;
}

/** The order of all listed gateways as readers; cached until the list changes. */
export interface ReaderOrder {
  /** Generation of the list that the order was computed from. */
  readonly generation: number;
  /** Gateways of the own zone, the preferred one first. */
  readonly ownZone: readonly PeerRecord[];
  /** Gateways of each other zone in the same manner; zones of the own region first. */
  readonly otherZones: readonly (readonly PeerRecord[])[];
}

/** The readers that this gateway follows, and the gateways that follow it. */
export interface ReadingState {
  /** This gateway reads the store itself. */
  isReading: boolean;
  /** Readers that this gateway follows, by name; the preferred one comes first. */
  readonly sources: Map<string, Source>;
  readonly followers: Map<FollowerId, Follower>;
  /** The value of `isCurrent` in the last status sent to the followers. */
  publishedCurrent: boolean | undefined;
  /** When that status was sent. */
  statusPublishedAt: number;
  /** Time from which a gateway that can serve right after its start follows its first reader. */
  followFrom: number;
  /** The last computed order of readers. */
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
