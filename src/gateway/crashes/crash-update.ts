/** What gateways tell each other of requests under which replicas have ended: their clocks differ, so ages are told. */
import type { Fingerprint } from '../model/request.js';
import { type CrashHistory, EMPTY_HISTORY } from './crash-history.js';

/** What is known of one request. Ages and times left are in milliseconds when it is told. */
export interface CrashUpdate {
  readonly fingerprint: Fingerprint;
  readonly rounds: number;
  /** Absent where no crash counts. */
  readonly crashedMsAgo?: number;
  /** Absent where no replica has answered it. */
  readonly servedMsAgo?: number;
  /** How much longer a suspected one is not to be tried by others; absent where it may be. */
  readonly pauseLeftMs?: number;
  /** Absent where it is not blocked. */
  readonly block?: {
    readonly level: number;
    readonly blockedMsAgo: number;
    readonly trialInMs: number;
    /** How much longer the outcome of a trial is waited for; absent where none runs. */
    readonly trialLeftMs?: number;
  };
}

/** What is told of a request now. */
export const toCrashUpdate = (
  fingerprint: Fingerprint,
  { rounds, crashedAt, servedAt, level, blockedAt, trialDueAt, trialUntil }: CrashHistory,
  at: number,
): CrashUpdate => ({
  fingerprint,
  rounds,
  ...(Number.isFinite(crashedAt) && { crashedMsAgo: at - crashedAt }),
  ...(Number.isFinite(servedAt) && { servedMsAgo: at - servedAt }),
  ...(level === 0 && trialUntil > at && { pauseLeftMs: trialUntil - at }),
  ...(level > 0 && {
    block: {
      level,
      blockedMsAgo: at - blockedAt,
      trialInMs: trialDueAt - at,
      ...(trialUntil > at && { trialLeftMs: trialUntil - at }),
    },
  }),
});

/** What was told, by this gateway's clock. */
export const fromCrashUpdate = (
  { rounds, crashedMsAgo, servedMsAgo, pauseLeftMs, block }: CrashUpdate,
  at: number,
): CrashHistory => ({
  ...EMPTY_HISTORY,
  rounds,
  ...(crashedMsAgo !== undefined && { crashedAt: at - crashedMsAgo }),
  ...(servedMsAgo !== undefined && { servedAt: at - servedMsAgo }),
  ...(pauseLeftMs !== undefined && { trialUntil: at + pauseLeftMs }),
  ...(block !== undefined && {
    level: block.level,
    blockedAt: at - block.blockedMsAgo,
    trialDueAt: at + block.trialInMs,
    ...(block.trialLeftMs !== undefined && { trialUntil: at + block.trialLeftMs }),
  }),
});
