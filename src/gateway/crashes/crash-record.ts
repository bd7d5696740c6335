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
const LONGEST_BLOCK_MS = 6 * 3_600_000;

/** While one gateway tries a blocked request, the others wait for the outcome so long, in milliseconds. */
const TRIAL_MS = 5_000;

/** What is known is forgotten so long after the last crash or the end of a block, in milliseconds. */
const MEMORY_MS = 600_000;

/** A request that was served is remembered so long, in milliseconds: older news of it may still be on its way. */
const SERVED_MEMORY_MS = 10_000;

/** A replica that ended under an attempt. */
export interface Crash {
  /** Rounds that the gateway knew when it sent the attempt. */
  readonly knownRounds: number;
  readonly sentAt: number;
  readonly crashedAt: number;
}

/** All that is known; it is the same at all gateways once their news have reached each other. */
export interface CrashKnowledge {
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
export const NOTHING_KNOWN: CrashKnowledge = {
  rounds: 0,
  crashedAt: Number.NEGATIVE_INFINITY,
  servedAt: Number.NEGATIVE_INFINITY,
  level: 0,
  blockedAt: Number.NEGATIVE_INFINITY,
  trialDueAt: Number.NEGATIVE_INFINITY,
  trialUntil: Number.NEGATIVE_INFINITY,
};

const blockMs = (level: number): number =>
  Math.min(LONGEST_BLOCK_MS, FIRST_BLOCK_MS * BLOCK_FACTOR ** (level - 1));

const block = (known: CrashKnowledge, level: number, at: number): CrashKnowledge => ({
  ...known,
  level,
  blockedAt: at,
  trialDueAt: at + blockMs(level),
  trialUntil: Number.NEGATIVE_INFINITY,
});

const addRounds = (known: CrashKnowledge, rounds: number, crashedAt: number): CrashKnowledge => {
  const counted = {
    ...known,
    rounds: Math.min(BLOCKING_ROUNDS, Math.max(known.rounds, rounds)),
    crashedAt: Math.max(known.crashedAt, crashedAt),
  };
  const isProven = counted.rounds >= BLOCKING_ROUNDS && counted.level === 0;
  return isProven ? block(counted, 1, crashedAt) : counted;
};

/** Takes a replica that ended under an attempt. One that was a trial lengthens the block. */
export const addCrash = (
  known: CrashKnowledge,
  { knownRounds, sentAt, crashedAt }: Crash,
): CrashKnowledge => {
  if (crashedAt <= known.servedAt) {
    return known;
  }
  if (known.level > 0 && sentAt >= known.trialDueAt) {
    return block({ ...known, crashedAt }, known.level + 1, crashedAt);
  }
  return addRounds(known, knownRounds + 1, crashedAt);
};

/** Takes an answer of a replica: what was seen before it no longer counts. */
export const addServed = (known: CrashKnowledge, at: number): CrashKnowledge => {
  if (at <= known.servedAt) {
    return known;
  }
  return known.crashedAt > at ? { ...known, servedAt: at } : { ...NOTHING_KNOWN, servedAt: at };
};

/** What this gateway knew in an earlier life: when the crashes were is not known, and a block begins anew. */
export const recalledKnowledge = (rounds: number, at: number): CrashKnowledge =>
  addRounds(NOTHING_KNOWN, rounds, at);

/**
 * What another gateway's entry in the store says. It may be out of date, so that it blocks nothing, and is taken for older
 * than any answer that a gateway still remembers.
 */
export const knowledgeOfOther = (rounds: number, at: number): CrashKnowledge =>
  addRounds(NOTHING_KNOWN, Math.min(rounds, BLOCKING_ROUNDS - 1), at - SERVED_MEMORY_MS);

/** The same for a suspected request: it is tried often, and most that are suspected have only met crashes. */
const PROBE_MS = 1_000;

/** Takes note that a gateway tries a blocked or suspected request now. */
export const beginTrial = (known: CrashKnowledge, at: number): CrashKnowledge => ({
  ...known,
  trialUntil: at + (known.level > 0 ? TRIAL_MS : PROBE_MS),
});

/**
 * A suspected request whose try has shown nothing, since replicas refused or failed it, is tried again after as long as has
 * passed since a replica last ended under it, from two rounds on after twice as long, within these bounds in milliseconds:
 * each try reaches replicas too.
 */
const SEVERAL_ROUNDS_FACTOR = 2;
const LEAST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 30_000;

/**
 * A run that nobody waits for is watched for so long, in milliseconds: some replicas work on after the time that they were
 * given. A replica that ends later has hardly ended by the run.
 */
export const WATCH_MS = 5_000;

/**
 * The longest pause after one round, in milliseconds. One round is met by every request that was at a replica when it ended,
 * and an innocent one must not be refused for long.
 */
const LONGEST_FIRST_PAUSE_MS = WATCH_MS;

/**
 * The shortest pause after a try that a replica may still run, in milliseconds, from two rounds on. Sent before, the next
 * try would be at another replica when the first one ends.
 */
const LEAST_RUNNING_PAUSE_MS = WATCH_MS;

/**
 * Takes note that a try of a suspected request has ended without showing whether replicas end under it.
 *
 * @param mayStillRun - a replica may still run it
 */
export const addInconclusive = (
  known: CrashKnowledge,
  at: number,
  mayStillRun = false,
): CrashKnowledge => {
  const hasSeveralRounds = known.rounds > 1;
  const longestMs = hasSeveralRounds ? LONGEST_PAUSE_MS : LONGEST_FIRST_PAUSE_MS;
  const leastMs = hasSeveralRounds && mayStillRun ? LEAST_RUNNING_PAUSE_MS : LEAST_PAUSE_MS;
  const sinceCrashMs = (at - known.crashedAt) * (hasSeveralRounds ? SEVERAL_ROUNDS_FACTOR : 1);
  const pauseMs = Math.max(leastMs, Math.min(longestMs, sinceCrashMs));
  return { ...known, trialUntil: Math.max(known.trialUntil, at + pauseMs) };
};

/**
 * Joins what this gateway knows with what another one has told. Of two blocks of the same level the own one stays:
 * what is told is later by the time that it was on its way, and would grow with each time that it is told.
 */
export const joinKnowledge = (own: CrashKnowledge, told: CrashKnowledge): CrashKnowledge => {
  const served = addServed(own, told.servedAt);
  if (told.crashedAt <= served.servedAt) {
    return served;
  }
  const { level, blockedAt, trialDueAt } = told.level > served.level ? told : served;
  const trialUntil = Math.max(served.trialUntil, told.trialUntil);
  const joined = { ...served, level, blockedAt, trialDueAt, trialUntil };
  return addRounds(joined, told.rounds, told.crashedAt);
};

/** Times of two gateways that differ by less are taken for the same, in milliseconds. */
const SAME_TIME_MS = 250;

const isLater = (after: number, before: number): boolean => after > before + SAME_TIME_MS;

/** Whether other gateways should hear of a change. */
export const isNews = (before: CrashKnowledge, after: CrashKnowledge): boolean =>
  after.level !== before.level ||
  after.rounds !== before.rounds ||
  isLater(after.servedAt, before.servedAt) ||
  isLater(after.trialUntil, before.trialUntil);

/** What may be done with a request now. */
export const verdictOf = (known: CrashKnowledge, at: number): CrashVerdict => {
  if (known.level === 0) {
    return known.rounds === 0 ? 'unsuspected' : 'suspected';
  }
  return at < unblockedAt(known) ? 'blocked' : 'trial-due';
};

/** When a blocked request may be tried next. */
export const unblockedAt = ({ trialDueAt, trialUntil }: CrashKnowledge): number =>
  Math.max(trialDueAt, trialUntil);

/** When nothing need be remembered any more. */
export const forgottenAt = ({
  rounds,
  crashedAt,
  level,
  servedAt,
  trialDueAt,
}: CrashKnowledge): number => {
  if (level > 0) {
    return trialDueAt + MEMORY_MS;
  }
  return rounds === 0 ? servedAt + SERVED_MEMORY_MS : crashedAt + MEMORY_MS;
};

/** Whether a request makes room before another one: the less serious, of two alike the one whose time is over first. */
export const isForgottenBefore = (known: CrashKnowledge, other: CrashKnowledge): boolean => {
  if (known.level !== other.level) {
    return known.level < other.level;
  }
  return known.rounds === other.rounds
    ? forgottenAt(known) < forgottenAt(other)
    : known.rounds < other.rounds;
};
