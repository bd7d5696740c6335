/**
 * Attempts that broke off while a replica may have run them. Whether the replica has ended, or only the connection,
 * is looked into: a connection breaks in many ways that say nothing about the request.
 */
import type { BrokenRun } from '../crashes/broken-run.js';
import { addCrash, type Crash } from '../crashes/crash-record.js';
import type { UnawaitedRun } from '../crashes/unawaited-runs.js';
import { noteServed, type SeenAnswer, updateKnowledge } from '../crashes/update-knowledge.js';
import type { GatewayEffect } from '../effect.js';
import type { AttemptEnded, ReplicaChecked } from '../event.js';
import type { BeliefChange } from '../log/log-event.js';
import { trace } from '../log/trace.js';
import type { AttemptProblem, Fingerprint } from '../model/request.js';
import type { GatewayState } from '../state.js';
import { showsThatItRuns } from './good-answer.js';
import { progressRequest } from './progress.js';
import { type ActiveAttempt, type ActiveRequest, asksForParts } from './request-state.js';
import { noteUnawaited, watchRun } from './unawaited-attempts.js';

/** How an attempt ends whose replica has ended. */
const BROKEN_OFF: ReadonlySet<AttemptProblem> = new Set<AttemptProblem>([
  'reset',
  'refused-connection',
  'cut-off',
]);

/** Fingerprints that a log line names. */
const MOST_NAMED = 4;

/**
 * Replicas that end under one try of a request without an answer, from which other gateways are told at once: its
 * caller will ask one of them next.
 */
const URGENT_CRASHES = 3;

const isBrokenOff = ({ result }: AttemptEnded): boolean =>
  result.type === 'failed' && result.mayHaveRun && BROKEN_OFF.has(result.problem);

const noteBrokenOff = (
  state: GatewayState,
  attempt: ActiveAttempt,
  brokenAt: number,
): GatewayEffect[] => {
  const replica = state.replicas.find(attempt.replica);
  if (replica === undefined) {
    return [];
  }
  const request = state.requests.get(attempt.owner.call);
  if (request !== undefined) {
    request.uncheckedBreaks += 1;
  }
  const known = state.brokenAttempts.get(attempt.replica);
  if (known !== undefined) {
    known.push({ attempt, brokenAt });
    return [];
  }
  state.brokenAttempts.set(attempt.replica, [{ attempt, brokenAt }]);
  return [{ type: 'check-replica', replica: replica.record }];
};

/** The answer by which the attempt has ended, where it shows that a replica can run the request. */
const goodAnswerOf = (
  { replica, owner }: ActiveAttempt,
  { result }: AttemptEnded,
): SeenAnswer | undefined =>
  result.type === 'answered' && showsThatItRuns(result.answer, asksForParts(owner))
    ? { replica, status: result.answer.status }
    : undefined;

/** Requests that wait for what is known of `fingerprint` go on. */
export const wakeRequests = (
  state: GatewayState,
  fingerprint: Fingerprint,
  at: number,
): GatewayEffect[] => {
  const waiting = [...state.requests.values()].filter(
    ({ request, legs }) => request.fingerprint === fingerprint && legs.some(({ isHeld }) => isHeld),
  );
  return waiting.flatMap((request) => progressRequest(state, request, at));
};

/** Another replica answers at the address of one that may have been at a run: that one has ended. */
const noteReplaced = (
  state: GatewayState,
  { replica }: ActiveAttempt,
  { result, at }: AttemptEnded,
): GatewayEffect[] => {
  const isReplaced = result.type === 'refused' && result.reason === 'wrong-instance';
  return isReplaced ? takeReplicaEnded(state, replica, at) : [];
};

/**
 * Takes note of what the end of an attempt says of its request: whether a replica may have ended under it, or has
 * answered it. The replica of one that broke off is looked at, once for all that break together.
 */
export const noteRunEnd = (
  state: GatewayState,
  attempt: ActiveAttempt,
  event: AttemptEnded,
): GatewayEffect[] => {
  const { fingerprint } = attempt;
  const { at } = event;
  if (isBrokenOff(event)) {
    return noteBrokenOff(state, attempt, at);
  }
  const { memory } = state.crashes;
  const answer = goodAnswerOf(attempt, event);
  if (answer === undefined) {
    return [...noteUnawaited(state, attempt, event), ...noteReplaced(state, attempt, event)];
  }
  if (memory.verdict(fingerprint, at) === 'unsuspected') {
    return [];
  }
  return [...noteServed(state, fingerprint, answer, at), ...wakeRequests(state, fingerprint, at)];
};

const logCrash = (
  state: GatewayState,
  replica: string,
  broken: readonly BrokenRun[],
  unawaited: readonly UnawaitedRun[],
): GatewayEffect => {
  const service = state.replicas.find(replica)?.record.service ?? '';
  state.counters.replicaCrashes.add(service);
  const runs = [...broken.map(({ attempt }) => attempt), ...unawaited];
  const fingerprints = [...new Set(runs.map(({ fingerprint }) => fingerprint))];
  const change: BeliefChange = {
    event: 'replica-crashed',
    replica,
    service,
    fingerprints: fingerprints.slice(0, MOST_NAMED),
    requests: runs.length,
    unawaited: unawaited.length,
  };
  return { type: 'write-log', level: 'warn', part: 'replica', change };
};

/** Counts a crash at the request under which it came; returns whether others must know of it at once. */
const countCrash = (state: GatewayState, { attempt }: BrokenRun, at: number): boolean => {
  const request = state.requests.get(attempt.owner.call);
  if (request === undefined) {
    return false;
  }
  request.crashes += 1;
  request.lostProbes += Number(attempt.isProbe);
  const { id, replica } = attempt;
  trace(request.decisions, at, { event: 'attempt-crashed', attempt: id, replica });
  return request.crashes >= URGENT_CRASHES && request.answeredLegs === 0;
};

/** Takes note of a crash under a request, at this gateway and, where it is serious, at all others. */
const addToKnowledge = (
  state: GatewayState,
  fingerprint: Fingerprint,
  crash: Crash,
  isStriking: boolean,
  at: number,
): GatewayEffect[] => {
  const after = addCrash(state.crashes.memory.find(fingerprint, at), crash);
  const isUrgent = isStriking || after.rounds > 1;
  const { node: from } = state.settings;
  return updateKnowledge(state, fingerprint, after, { from, isUrgent }, at);
};

const takeBroken = (state: GatewayState, run: BrokenRun, at: number): GatewayEffect[] => {
  const isStriking = countCrash(state, run, at);
  const { fingerprint, knownRounds, sentAt } = run.attempt;
  const crash = { knownRounds, sentAt, crashedAt: run.brokenAt };
  return addToKnowledge(state, fingerprint, crash, isStriking, at);
};

const takeUnawaited = (
  state: GatewayState,
  { fingerprint, knownRounds, sentAt }: UnawaitedRun,
  at: number,
): GatewayEffect[] =>
  addToKnowledge(state, fingerprint, { knownRounds, sentAt, crashedAt: at }, false, at);

/** What a replica that has ended may have been working on without anybody waiting; one that drains ends by itself. */
const unawaitedAt = (state: GatewayState, replica: string, at: number): readonly UnawaitedRun[] => {
  const isDraining = state.replicas.find(replica)?.record.draining === true;
  const runs = state.unawaitedRuns.take(replica, at);
  return isDraining ? [] : runs;
};

/** Counts the end of a replica at all requests that it may have been at. */
const countEnd = (
  state: GatewayState,
  replica: string,
  broken: readonly BrokenRun[],
  unawaited: readonly UnawaitedRun[],
  at: number,
): GatewayEffect[] =>
  broken.length + unawaited.length === 0
    ? []
    : [
        logCrash(state, replica, broken, unawaited),
        ...broken.flatMap((run) => takeBroken(state, run, at)),
        ...unawaited.flatMap((run) => takeUnawaited(state, run, at)),
      ];

/** The requests of these runs that are still in progress, once each; their breaks are explained now. */
const explainBreaks = (
  state: GatewayState,
  broken: readonly BrokenRun[],
): ReadonlySet<ActiveRequest> => {
  const requests = broken.flatMap(({ attempt }) => state.requests.get(attempt.owner.call) ?? []);
  requests.forEach((request) => {
    request.uncheckedBreaks -= 1;
  });
  return new Set(requests);
};

/**
 * Handles `replica-checked`. A replica that takes connections may have ended and started again, or only have been cut off:
 * what it was at is watched on.
 */
export const takeReplicaChecked = (
  state: GatewayState,
  { replica, isDown, at }: ReplicaChecked,
): GatewayEffect[] => {
  const broken = state.brokenAttempts.get(replica) ?? [];
  state.brokenAttempts.delete(replica);
  const requests = explainBreaks(state, broken);
  const unawaited = isDown ? unawaitedAt(state, replica, at) : [];
  const runs = [...broken.map(({ attempt }) => attempt), ...unawaited];
  const fingerprints = new Set(runs.map(({ fingerprint }) => fingerprint));
  const noted = isDown
    ? countEnd(state, replica, broken, unawaited, at)
    : broken.flatMap(({ attempt }) => watchRun(state, attempt, at));
  return [
    ...noted,
    ...[...requests].flatMap((request) => progressRequest(state, request, at)),
    ...[...fingerprints].flatMap((fingerprint) => wakeRequests(state, fingerprint, at)),
  ];
};

/** A replica is known to have ended, though it was not found down: what it may have been at counts. */
export const takeReplicaEnded = (
  state: GatewayState,
  replica: string,
  at: number,
): GatewayEffect[] =>
  state.unawaitedRuns.has(replica, at)
    ? takeReplicaChecked(state, { type: 'replica-checked', replica, isDown: true, at })
    : [];
