/**
 * What is known of one request, by its fingerprint, under which replicas have ended.
 *
 * A request is only suspected when a replica ended under it: replicas end for other causes too, also many at once, with
 * all that they run. What counts is rounds: a replica that ended under an attempt belongs to the round after those of
 * which the gateway knew when it sent the attempt. All that was at replicas when they ended together is one round,
 * whatever clocks say and however many gateways had sent it. A request is blocked after several rounds with no answer
 * of any replica since. One answer shows that a replica can run it, and clears it.
 *
 * Times are milliseconds on this gateway's clock.
 */

/**
 * Rounds that block a request. With fewer, one that was twice at replicas that ended for another cause would be refused;
 * each more costs at least one replica more.
 */
export const BLOCKING_ROUNDS = 3;

/**
 * A request is blocked for so long at first, in milliseconds, and then tried at one replica: longer than a deployment
 * takes to restart its replicas. Blocks become longer by the factor, since each trial may cost a replica.
 */
const FIRST_BLOCK_MS = 60_000;
const BLOCK_FACTOR = 10;
const MAX_BLOCK_MS = 6 * 3_600_000;

/** While one gateway tries a blocked request, the others wait for the outcome so long, in milliseconds. */
const BLOCKED_TRIAL_MS = 5_000;

/** What is known is forgotten so long after the last crash or the end of a block, in milliseconds. */
const RETENTION_MS = 600_000;

/** A request that was served is remembered so long, in milliseconds: older news of it may still be on its way. */
const SERVED_RETENTION_MS = 10_000;

/** A replica that ended under an attempt. */
export interface Crash {
  /** Rounds that the gateway knew when it sent the attempt. */
  readonly knownRounds: number;
  readonly sentAt: number;
  readonly crashedAt: number;
}

/** All that is known; it is the same at all gateways once their news have reached each other. */
export interface CrashHistory {
  /** Rounds of crashes since a replica last answered. */
  readonly rounds: number;
  /** When a replica last ended under it. */
  readonly crashedAt: number;
  /** When a replica last answered it; minus infinity where none has. */
  readonly servedAt: number;
  /** How often it was blocked in a row; 0 while it is not. */
  readonly level: number;
  /** When the level last rose. */
  readonly blockedAt: number;
  /** When a blocked request may be tried. */
  readonly trialDueAt: number;
  /** Until when the outcome of a trial is waited for. */
  readonly trialUntil: number;
}

/** What a gateway may do with a request. */
export type CrashVerdict = 'unsuspected' | 'suspected' | 'blocked' | 'trial-due';

/** Of a request of which nothing is known. */
export const EMPTY_HISTORY: CrashHistory = {
  rounds: 0,
  crashedAt: Number.NEGATIVE_INFINITY,
  servedAt: Number.NEGATIVE_INFINITY,
  level: 0,
  blockedAt: Number.NEGATIVE_INFINITY,
  trialDueAt: Number.NEGATIVE_INFINITY,
  trialUntil: Number.NEGATIVE_INFINITY,
};

const blockDurationMs = (level: number): number =>
  Math.min(MAX_BLOCK_MS, FIRST_BLOCK_MS * BLOCK_FACTOR ** (level - 1));

const block = (history: CrashHistory, level: number, at: number): CrashHistory => ({
  ...history,
  level,
  blockedAt: at,
  trialDueAt: at + blockDurationMs(level),
  trialUntil: Number.NEGATIVE_INFINITY,
});

const recordRounds = (history: CrashHistory, rounds: number, crashedAt: number): CrashHistory => {
  const counted = {
    ...history,
    rounds: Math.min(BLOCKING_ROUNDS, Math.max(history.rounds, rounds)),
    crashedAt: Math.max(history.crashedAt, crashedAt),
  };
  const isProven = counted.rounds >= BLOCKING_ROUNDS && counted.level === 0;
  return isProven ? block(counted, 1, crashedAt) : counted;
};

/** Takes a replica that ended under an attempt. One that was a trial lengthens the block. */
export const recordCrash = (
  history: CrashHistory,
  { knownRounds, sentAt, crashedAt }: Crash,
): CrashHistory => {
  if (crashedAt <= history.servedAt) {
    return history;
  }
  if (history.level > 0 && sentAt >= history.trialDueAt) {
    return block({ ...history, crashedAt }, history.level + 1, crashedAt);
  }
  return recordRounds(history, knownRounds + 1, crashedAt);
};

/** Takes an answer of a replica: what was seen before it no longer counts. */
export const recordAnswer = (history: CrashHistory, at: number): CrashHistory => {
  if (at <= history.servedAt) {
    return history;
  }
  return history.crashedAt > at ? { ...history, servedAt: at } : { ...EMPTY_HISTORY, servedAt: at };
};

/** What this gateway knew in an earlier life: when the crashes were is not known, and a block begins anew. */
export const historyFromOwnEntry = (rounds: number, at: number): CrashHistory =>
  recordRounds(EMPTY_HISTORY, rounds, at);

/**
 * What another gateway's entry in the store says. It may be out of date, so that it blocks nothing, and is taken for older
 * than any answer that a gateway still remembers.
 */
export const historyFromPeerEntry = (rounds: number, at: number): CrashHistory =>
  recordRounds(EMPTY_HISTORY, Math.min(rounds, BLOCKING_ROUNDS - 1), at - SERVED_RETENTION_MS);

/** The same for a suspected request: it is tried often, and most that are suspected have only met crashes. */
const SUSPECTED_TRIAL_MS = 1_000;

/** Takes note that a gateway tries a blocked or suspected request now. */
export const markTrialStarted = (history: CrashHistory, at: number): CrashHistory => ({
  ...history,
  trialUntil: at + (history.level > 0 ? BLOCKED_TRIAL_MS : SUSPECTED_TRIAL_MS),
});

/**
 * A suspected request whose try has shown nothing, since replicas refused or failed it, is tried again after as long as has
 * passed since a replica last ended under it, from two rounds on after twice as long, within these bounds in milliseconds:
 * each try reaches replicas too.
 */
const REPEATED_CRASH_PAUSE_FACTOR = 2;
const MIN_PAUSE_MS = 250;
const MAX_PAUSE_MS = 30_000;

/**
 * A run that nobody waits for is watched for so long, in milliseconds: some replicas work on after the time that they were
 * given. A replica that ends later has hardly ended by the run.
 */
export const UNAWAITED_RUN_WATCH_MS = 5_000;

/**
 * The longest pause after one round, in milliseconds. One round is met by every request that was at a replica when it ended,
 * and an innocent one must not be refused for long.
 */
const MAX_FIRST_ROUND_PAUSE_MS = UNAWAITED_RUN_WATCH_MS;

/**
 * The shortest pause after a try that a replica may still run, in milliseconds, from two rounds on. Sent before, the next
 * try would be at another replica when the first one ends.
 */
const MIN_PAUSE_WHILE_RUNNING_MS = UNAWAITED_RUN_WATCH_MS;

/**
 * Takes note that a try of a suspected request has ended without showing whether replicas end under it.
 *
 * @param mayStillRun - a replica may still run it
 */
export const recordInconclusiveTrial = (
  history: CrashHistory,
  at: number,
  mayStillRun = false,
): CrashHistory => {
  const hasSeveralRounds = history.rounds > 1;
  const maxMs = hasSeveralRounds ? MAX_PAUSE_MS : MAX_FIRST_ROUND_PAUSE_MS;
  const minMs = hasSeveralRounds && mayStillRun ? MIN_PAUSE_WHILE_RUNNING_MS : MIN_PAUSE_MS;
  const sinceCrashMs =
    (at - history.crashedAt) * (hasSeveralRounds ? REPEATED_CRASH_PAUSE_FACTOR : 1);
  const pauseMs = Math.max(minMs, Math.min(maxMs, sinceCrashMs));
  return { ...history, trialUntil: Math.max(history.trialUntil, at + pauseMs) };
};

/**
 * Joins what this gateway knows with what another one has told. Of two blocks of the same level the own one stays:
 * what is told is later by the time that it was on its way, and would grow with each time that it is told.
 */
export const mergeHistories = (own: CrashHistory, received: CrashHistory): CrashHistory => {
  const served = recordAnswer(own, received.servedAt);
  if (received.crashedAt <= served.servedAt) {
    return served;
  }
  const { level, blockedAt, trialDueAt } = received.level > served.level ? received : served;
  const trialUntil = Math.max(served.trialUntil, received.trialUntil);
  const merged = { ...served, level, blockedAt, trialDueAt, trialUntil };
  return recordRounds(merged, received.rounds, received.crashedAt);
};

/** Times of two gateways that differ by less are taken for the same, in milliseconds. */
const CLOCK_TOLERANCE_MS = 250;

const isClearlyLater = (after: number, before: number): boolean =>
  after > before + CLOCK_TOLERANCE_MS;

/** Whether other gateways should hear of a change. */
export const isWorthPublishing = (before: CrashHistory, after: CrashHistory): boolean =>
  after.level !== before.level ||
  after.rounds !== before.rounds ||
  isClearlyLater(after.servedAt, before.servedAt) ||
  isClearlyLater(after.trialUntil, before.trialUntil);

/** What may be done with a request now. */
export const verdictOf = (history: CrashHistory, at: number): CrashVerdict => {
  if (history.level === 0) {
    return history.rounds === 0 ? 'unsuspected' : 'suspected';
  }
  return at < nextTrialAt(history) ? 'blocked' : 'trial-due';
};

/** When a blocked request may be tried next. */
export const nextTrialAt = ({ trialDueAt, trialUntil }: CrashHistory): number =>
  Math.max(trialDueAt, trialUntil);

/** When nothing need be remembered any more. */
export const expiresAt = ({
  rounds,
  crashedAt,
  level,
  servedAt,
  trialDueAt,
}: CrashHistory): number => {
  if (level > 0) {
    return trialDueAt + RETENTION_MS;
  }
  return rounds === 0 ? servedAt + SERVED_RETENTION_MS : crashedAt + RETENTION_MS;
};

/** Whether a request makes room before another one: the less serious, of two alike the one whose time is over first. */
export const isEvictedBefore = (history: CrashHistory, other: CrashHistory): boolean => {
  if (history.level !== other.level) {
    return history.level < other.level;
  }
  return history.rounds === other.rounds
    ? expiresAt(history) < expiresAt(other)
    : history.rounds < other.rounds;
};
