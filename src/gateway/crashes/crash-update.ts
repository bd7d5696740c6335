/** The crash updates that gateways send each other. They carry ages instead of times, since clocks differ. */
import type { Fingerprint } from '../model/request.js';
import { type CrashHistory, EMPTY_HISTORY } from './crash-history.js';

/** The crash history of one request. Ages and remaining times are in milliseconds as of sending. */
export interface CrashUpdate {
  readonly fingerprint: Fingerprint;
  readonly rounds: number;
  /** Age of the last crash; absent where no crash counts. */
  readonly crashedMsAgo?: number;
  /** Age of the last answer; absent where no replica has answered the request. */
  readonly servedMsAgo?: number;
  /** Number of published answers, and the rounds that the last one cleared; absent where there are none. */
  readonly answers?: number;
  readonly clearedRounds?: number;
  /** How much longer other gateways hold a suspected request back; absent where they may send it. */
  readonly pauseLeftMs?: number;
  /** Number of changes of the time until which trials are waited for; absent where there are none. */
  readonly trials?: number;
  /** The block; absent where the request is not blocked. */
  readonly block?: {
    readonly level: number;
    readonly blockedMsAgo: number;
    readonly trialInMs: number;
    /** How much longer gateways wait for the outcome of the running trial; absent where none runs. */
    readonly trialLeftMs?: number;
  };
}

/** Converts a history to an update, with ages as of `at`. */
export const toCrashUpdate = (
  fingerprint: Fingerprint,
  history: CrashHistory,
  at: number,
): CrashUpdate => {
  const { rounds, crashedAt, servedAt, answers, clearedRounds, trials } = history;
  const { level, blockedAt, trialDueAt, trialUntil } = history;
  return {
    fingerprint,
    rounds,
    ...(answers > 0 && { answers, clearedRounds }),
    ...(trials > 0 && { trials }),
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
  };
};

/** Converts an update received at `at` to a history with times on this gateway's clock. */
export const fromCrashUpdate = (
  { rounds, crashedMsAgo, servedMsAgo, pauseLeftMs, block, ...numbers }: CrashUpdate,
  at: number,
): CrashHistory => ({
  ...EMPTY_HISTORY,
  rounds,
  answers: numbers.answers ?? 0,
  clearedRounds: numbers.clearedRounds ?? 0,
  trials: numbers.trials ?? 0,
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
