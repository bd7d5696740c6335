/**
 * The crash history of one request, identified by its fingerprint: decides whether it is a poison request.
 *
 * A crash of a replica only makes the requests that it was running suspected, since replicas also crash for other
 * reasons, many at once too. Crashes are therefore counted in rounds: the crash of an attempt belongs to the round
 * after those that the gateway knew of when it sent the attempt. All attempts that were running when replicas crashed
 * together form one round, independent of clocks and of the number of gateways that sent them. A request is blocked
 * after several rounds without an answer of any replica since. One answer shows that a replica can run it, and clears
 * it.
 *
 * Times are milliseconds on this gateway's clock.
 */

/**
 * Rounds that block a request. With fewer, a request that was running twice when replicas crashed for another reason
 * would be refused. Each additional round costs at least one more replica.
 */
export const BLOCKING_ROUNDS = 3;

/**
 * Rounds from which a suspected request is logged, published repeatedly and kept in the store at once. Every request that
 * a crashed replica was running has one round, and the round after two blocks the request.
 */
export const SERIOUS_ROUNDS = 2;

/**
 * Duration of the first block, in milliseconds, after which the request is sent to one replica as a trial. It is longer
 * than a deployment takes to restart its replicas. Each further block is longer by the factor, since a trial may cost a
 * replica.
 */
const FIRST_BLOCK_MS = 60_000;
const BLOCK_FACTOR = 10;
const MAX_BLOCK_MS = 6 * 3_600_000;

/** Time that other gateways wait for the outcome of a trial of a blocked request, in milliseconds. */
const BLOCKED_TRIAL_MS = 5_000;

/** A history expires this long after the last crash or the end of the block, in milliseconds. */
const RETENTION_MS = 600_000;

/** The history of an answered request is kept this long, in milliseconds: older updates may still be on their way. */
const SERVED_RETENTION_MS = 10_000;

/** A crash of a replica while it was running an attempt. */
export interface Crash {
  /** Rounds that the gateway knew of when it sent the attempt. */
  readonly knownRounds: number;
  readonly sentAt: number;
  readonly crashedAt: number;
}

/** The history of a request. Histories at all gateways converge once their updates have reached each other. */
export interface CrashHistory {
  /** Rounds of crashes since a replica last answered. */
  readonly rounds: number;
  /** When a replica last crashed while running it. */
  readonly crashedAt: number;
  /** When a replica last answered it; minus infinity where none has. */
  readonly servedAt: number;
  /** Number of answers that were published, one after the other. Of two histories, the one with more is newer. */
  readonly answers: number;
  /** Rounds that the last of these answers cleared. */
  readonly clearedRounds: number;
  /** Number of consecutive blocks; 0 while it is not blocked. */
  readonly level: number;
  /** When the level last rose. */
  readonly blockedAt: number;
  /** When a trial of a blocked request is due. */
  readonly trialDueAt: number;
  /** Until when gateways wait for the outcome of a running trial, or hold a suspected request back. */
  readonly trialUntil: number;
  /** Number of changes of `trialUntil`, one after the other. */
  readonly trials: number;
}

/** What a gateway may do with a request. */
export type CrashVerdict = 'unsuspected' | 'suspected' | 'blocked' | 'trial-due';

/** The history of a request without recorded crashes or answers. */
export const EMPTY_HISTORY: CrashHistory = {
  rounds: 0,
  crashedAt: Number.NEGATIVE_INFINITY,
  servedAt: Number.NEGATIVE_INFINITY,
  answers: 0,
  clearedRounds: 0,
  level: 0,
  blockedAt: Number.NEGATIVE_INFINITY,
  trialDueAt: Number.NEGATIVE_INFINITY,
  trialUntil: Number.NEGATIVE_INFINITY,
  trials: 0,
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

/** Records a crash of a replica while it was running an attempt. A crash during a trial lengthens the block. */
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

/** Time within which a further answer is not published, in milliseconds: it tells other gateways nothing that matters. */
const ANSWER_INTERVAL_MS = 250;

/** The history after a published answer. */
const clear = ({ answers, rounds, trials }: CrashHistory, servedAt: number): CrashHistory => ({
  ...EMPTY_HISTORY,
  servedAt,
  answers: answers + 1,
  clearedRounds: rounds,
  trials,
});

/** Records an answer of a replica to this gateway. Crashes before it no longer count. */
export const recordAnswer = (history: CrashHistory, at: number): CrashHistory => {
  const { servedAt, rounds, level } = history;
  if (at <= servedAt) {
    return history;
  }
  const isRepeated = rounds === 0 && level === 0 && at <= servedAt + ANSWER_INTERVAL_MS;
  if (history.crashedAt > at || isRepeated) {
    return { ...history, servedAt: at };
  }
  return clear(history, at);
};

/**
 * The history from this gateway's own entry in the store, written by an earlier incarnation. The entry does not tell
 * when the crashes were, so a block starts again.
 */
export const historyFromOwnEntry = (rounds: number, at: number): CrashHistory =>
  recordRounds(EMPTY_HISTORY, rounds, at);

/**
 * The history from another gateway's entry in the store. The entry may be out of date, so it never blocks the request,
 * and it counts as older than any answer that a gateway still has in its history.
 */
export const historyFromPeerEntry = (rounds: number, at: number): CrashHistory =>
  recordRounds(EMPTY_HISTORY, Math.min(rounds, BLOCKING_ROUNDS - 1), at - SERVED_RETENTION_MS);

/**
 * Time that other gateways wait for the outcome of a trial of a suspected request, in milliseconds. Such trials are
 * frequent, and most suspected requests were only running when a replica crashed for another reason.
 */
const SUSPECTED_TRIAL_MS = 1_000;

/** Marks that a gateway starts a trial of a blocked or suspected request. */
export const markTrialStarted = (history: CrashHistory, at: number): CrashHistory => ({
  ...history,
  trialUntil: at + (history.level > 0 ? BLOCKED_TRIAL_MS : SUSPECTED_TRIAL_MS),
  trials: history.trials + 1,
});

/**
 * A trial of a suspected request is inconclusive where replicas refused or failed it. The next one follows after a
 * pause as long as the time since the last crash, or twice as long from two rounds on, within these bounds in
 * milliseconds. Trials are spaced out because each of them reaches replicas.
 */
const REPEATED_CRASH_PAUSE_FACTOR = 2;
const MIN_PAUSE_MS = 250;
const MAX_PAUSE_MS = 30_000;

/**
 * Time for which an unawaited run is watched, in milliseconds: some replicas continue past the deadline of a request. A
 * later crash is unlikely to be caused by the run.
 */
export const UNAWAITED_RUN_WATCH_MS = 5_000;

/**
 * Longest pause after a single round, in milliseconds. Every request that a crashed replica was running has one round,
 * and a harmless request must not be refused for long.
 */
const MAX_FIRST_ROUND_PAUSE_MS = UNAWAITED_RUN_WATCH_MS;

/**
 * Shortest pause, from two rounds on, after a trial that a replica may still be running, in milliseconds. A trial sent
 * earlier could already be running at another replica when the first replica crashes.
 */
const MIN_PAUSE_WHILE_RUNNING_MS = UNAWAITED_RUN_WATCH_MS;

/**
 * Records that a trial of a suspected request ended without showing whether the request crashes replicas.
 *
 * @param mayStillRun - whether a replica may still be running it
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
  const trialUntil = Math.max(history.trialUntil, at + pauseMs);
  return { ...history, trialUntil, trials: history.trials + 1 };
};

/** Whether the last answer of a newer history clears the crashes of an older one. */
const isClearedBy = (older: CrashHistory, newer: CrashHistory): boolean => {
  const wasKnown = older.answers + 1 === newer.answers && older.rounds <= newer.clearedRounds;
  return wasKnown || older.crashedAt <= newer.servedAt;
};

/** Adds the crashes, the block and the trial of another history that count beside those of `history`. */
const addHistory = (history: CrashHistory, other: CrashHistory): CrashHistory => {
  const { level, blockedAt, trialDueAt } = other.level > history.level ? other : history;
  const { trialUntil, trials } = other.trials > history.trials ? other : history;
  const merged = {
    ...history,
    servedAt: Math.max(history.servedAt, other.servedAt),
    clearedRounds: Math.max(history.clearedRounds, other.clearedRounds),
    level,
    blockedAt,
    trialDueAt,
    trialUntil,
    trials,
  };
  return recordRounds(merged, other.rounds, other.crashedAt);
};

/**
 * Merges this gateway's history of a request with one received from another gateway. Received times are later by the time
 * that the update was in transit, with each hop. So they only decide between a crash and an answer that the gateways learned
 * of independently. All else is decided by numbers, which never decrease: an update that comes back changes nothing. Of two
 * trials or blocks of the same number, the own one is kept.
 */
export const mergeHistories = (own: CrashHistory, received: CrashHistory): CrashHistory => {
  const [older, newer] = received.answers > own.answers ? [own, received] : [received, own];
  if (older.answers === newer.answers) {
    return addHistory(own, received);
  }
  return isClearedBy(older, newer)
    ? { ...newer, trials: Math.max(older.trials, newer.trials) }
    : addHistory(newer, older);
};

/** Whether a change must be published to other gateways. */
export const isWorthPublishing = (before: CrashHistory, after: CrashHistory): boolean =>
  after.answers !== before.answers ||
  after.rounds !== before.rounds ||
  after.level !== before.level ||
  after.trials !== before.trials;

/** What the gateway may do with a request now. */
export const verdictOf = (history: CrashHistory, at: number): CrashVerdict => {
  if (history.level === 0) {
    return history.rounds === 0 ? 'unsuspected' : 'suspected';
  }
  return at < nextTrialAt(history) ? 'blocked' : 'trial-due';
};

/** When the next trial of a blocked request may start. */
export const nextTrialAt = ({ trialDueAt, trialUntil }: CrashHistory): number =>
  Math.max(trialDueAt, trialUntil);

/** When the history may be removed. */
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

/**
 * Whether a history is evicted before another one: the less serious first, of two equals the one that expires first.
 */
export const isEvictedBefore = (history: CrashHistory, other: CrashHistory): boolean => {
  if (history.level !== other.level) {
    return history.level < other.level;
  }
  return history.rounds === other.rounds
    ? expiresAt(history) < expiresAt(other)
    : history.rounds < other.rounds;
};
