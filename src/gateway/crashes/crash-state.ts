/** What a gateway keeps about requests under which replicas have ended. */
import type { Fingerprint } from '../model/request.js';
import { CrashMemory } from './crash-memory.js';

/** The requests, and what of them other gateways have not been told. */
export interface CrashState {
  readonly memory: CrashMemory;
  /** Requests of which something new is known here. */
  readonly untold: Set<Fingerprint>;
  /** Requests that other gateways know of. */
  readonly told: Set<Fingerprint>;
  /** When news are told next; undefined while nothing is to be told. */
  tellAt: number | undefined;
  /** When news were last told. */
  toldAt: number;
  /** When what is serious is told again, at the earliest, and whose turn it was last. */
  tellAgainAt: number;
  turn: number;
  /** Requests that stand in this gateway's entry in the store: it learnt first-hand that replicas end under them. */
  readonly kept: Set<Fingerprint>;
  /** What stood there from the life before has been read. */
  isRecalled: boolean;
}

/** Creates the state of a gateway that knows of none. */
export const createCrashState = (): CrashState => ({
  memory: new CrashMemory(),
  untold: new Set(),
  told: new Set(),
  tellAt: undefined,
  toldAt: Number.NEGATIVE_INFINITY,
  tellAgainAt: Number.NEGATIVE_INFINITY,
  turn: 0,
  kept: new Set(),
  isRecalled: false,
});
