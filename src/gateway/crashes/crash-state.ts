/** The gateway's state about requests that crash replicas. */
import type { Fingerprint } from '../model/request.js';
import { CrashHistories } from './crash-histories.js';

/** Crash histories, and which of them other gateways have or still need. */
export interface CrashState {
  readonly histories: CrashHistories;
  /** Requests whose history has changed and has not been published since. */
  readonly pending: Set<Fingerprint>;
  /** Requests that were published to other gateways or received from one. */
  readonly knownToPeers: Set<Fingerprint>;
  /** When pending updates are published next; undefined while no timer is set. */
  publishAt: number | undefined;
  /** When updates were last published. */
  publishedAt: number;
  /** Earliest time at which serious requests are published again. */
  republishAt: number;
  /** Group of neighbours that received serious requests last. */
  republishGroup: number;
  /** Requests named in this gateway's entry in the store: it has itself seen replicas crash while running them. */
  readonly kept: Set<Fingerprint>;
  /** Requests with a single round that it has itself seen, and when each is named in the entry unless it is cleared. */
  readonly firstRounds: Map<Fingerprint, number>;
  /** The suspects that an earlier incarnation left in this gateway's entry have been read. */
  isOwnEntryRead: boolean;
}

/** Creates the state of a gateway that knows of no crashes. */
export const createCrashState = (): CrashState => ({
  histories: new CrashHistories(),
  pending: new Set(),
  knownToPeers: new Set(),
  publishAt: undefined,
  publishedAt: Number.NEGATIVE_INFINITY,
  republishAt: Number.NEGATIVE_INFINITY,
  republishGroup: 0,
  kept: new Set(),
  firstRounds: new Map(),
  isOwnEntryRead: false,
});
