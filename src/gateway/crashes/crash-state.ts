/** What a gateway keeps about requests under which replicas have ended. */
import type { Fingerprint } from '../model/request.js';
import { CrashHistories } from './crash-histories.js';

/** The requests, and what of them other gateways have not been told. */
export interface CrashState {
  readonly histories: CrashHistories;
  /** Requests of which something new is known here. */
  readonly pending: Set<Fingerprint>;
  /** Requests that other gateways know of. */
  readonly knownToPeers: Set<Fingerprint>;
  /** When news are told next; undefined while nothing is to be told. */
  publishAt: number | undefined;
  /** When news were last told. */
  publishedAt: number;
  /** When what is serious is told again, at the earliest, and whose turn it was last. */
  republishAt: number;
  republishGroup: number;
  /** Requests that stand in this gateway's entry in the store: it learnt first-hand that replicas end under them. */
  readonly kept: Set<Fingerprint>;
  /** What stood there from the life before has been read. */
  isOwnEntryRead: boolean;
}

/** Creates the state of a gateway that knows of none. */
export const createCrashState = (): CrashState => ({
  histories: new CrashHistories(),
  pending: new Set(),
  knownToPeers: new Set(),
  publishAt: undefined,
  publishedAt: Number.NEGATIVE_INFINITY,
  republishAt: Number.NEGATIVE_INFINITY,
  republishGroup: 0,
  kept: new Set(),
  isOwnEntryRead: false,
});
