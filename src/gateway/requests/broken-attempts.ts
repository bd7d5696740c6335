/**
 * Attempts whose connection broke while a replica may have been running them. The replica is checked, since a connection
 * may also break for reasons that have nothing to do with the request.
 */
import type { BrokenAttempt } from '../crashes/broken-attempt.js';
import { recordCrash, type Crash } from '../crashes/crash-history.js';
import type { UnawaitedRun } from '../crashes/unawaited-runs.js';
import {
  recordServedRequest,
  type ObservedAnswer,
  updateHistory,
} from '../crashes/update-history.js';
import type { GatewayEffect } from '../effect.js';
import type { AttemptEnded, ReplicaChecked } from '../event.js';
import type { StateChange } from '../log/log-event.js';
import { recordDecision } from '../log/trace.js';
import type { Fingerprint } from '../model/request.js';
import type { GatewayState } from '../state.js';
import { traitsOf } from './attempt-problems.js';
import { provesReplicaCanRun } from './usable-answer.js';
import { progressRequest } from './progress.js';
import { type ActiveAttempt, type ActiveRequest, isGather } from './request-state.js';
import { recordUnawaited, watchRun } from './unawaited-attempts.js';

/** Most fingerprints listed in one log line. */
const MAX_LOGGED_FINGERPRINTS = 4;

/**
 * Number of replicas crashed by one request, none of which answered, from which the other gateways are informed at once:
 * the caller will send its retry to one of them.
 */
const URGENT_CRASHES = 3;

const isBroken = ({ result }: AttemptEnded): boolean =>
  result.type === 'failed' && result.mayHaveRun && traitsOf(result.problem).mayBeCrash;

const recordBrokenAttempt = (
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

/** The answer that ended the attempt, when it proves that a replica can run the request. */
const clearingAnswerOf = (
  { replica, owner }: ActiveAttempt,
  { result }: AttemptEnded,
): ObservedAnswer | undefined =>
  result.type === 'answered' && provesReplicaCanRun(result.answer, isGather(owner))
    ? { replica, status: result.answer.status }
    : undefined;

/** Progresses the requests with this fingerprint that have held legs. */
export const progressHeldRequests = (
  state: GatewayState,
  fingerprint: Fingerprint,
  at: number,
): GatewayEffect[] => {
  const waiting = [...state.requests.values()].filter(
    ({ request, legs }) => request.fingerprint === fingerprint && legs.some(({ isHeld }) => isHeld),
  );
  return waiting.flatMap((request) => progressRequest(state, request, at));
};

/** Records that a replica has ended when another replica answers at its address. */
const recordReplacedReplica = (
  state: GatewayState,
  { replica }: ActiveAttempt,
  { result, at }: AttemptEnded,
): GatewayEffect[] => {
  const isReplaced = result.type === 'refused' && result.reason === 'wrong-instance';
  return isReplaced ? applyReplicaCrash(state, replica, at) : [];
};

/**
 * Records what the end of an attempt shows about its request: the replica may have crashed, or has answered. After a
 * broken connection the replica is checked, once for all attempts that break together.
 */
export const recordRunEnd = (
  state: GatewayState,
  attempt: ActiveAttempt,
  event: AttemptEnded,
): GatewayEffect[] => {
  const { fingerprint } = attempt;
  const { at } = event;
  if (isBroken(event)) {
    return recordBrokenAttempt(state, attempt, at);
  }
  const { histories } = state.crashes;
  const answer = clearingAnswerOf(attempt, event);
  if (answer === undefined) {
    return [
      ...recordUnawaited(state, attempt, event),
      ...recordReplacedReplica(state, attempt, event),
    ];
  }
  attempt.owner.isProvenHarmless = true;
  if (histories.verdict(fingerprint, at) === 'unsuspected') {
    return [];
  }
  return [
    ...recordServedRequest(state, fingerprint, answer, at),
    ...progressHeldRequests(state, fingerprint, at),
  ];
};

const logCrash = (
  state: GatewayState,
  replica: string,
  broken: readonly BrokenAttempt[],
  unawaited: readonly UnawaitedRun[],
): GatewayEffect => {
  const service = state.replicas.find(replica)?.record.service ?? '';
  state.counters.replicaCrashes.add(service);
  const runs = [...broken.map(({ attempt }) => attempt), ...unawaited];
  const fingerprints = [...new Set(runs.map(({ fingerprint }) => fingerprint))];
  const change: StateChange = {
    event: 'replica-crashed',
    replica,
    service,
    fingerprints: fingerprints.slice(0, MAX_LOGGED_FINGERPRINTS),
    requests: runs.length,
    unawaited: unawaited.length,
  };
  return { type: 'write-log', level: 'warn', part: 'replica', change };
};

/** Counts a crash for the request of a broken run; returns whether other gateways must be informed at once. */
const countCrash = (state: GatewayState, { attempt }: BrokenAttempt, at: number): boolean => {
  const request = state.requests.get(attempt.owner.call);
  if (request === undefined) {
    return false;
  }
  request.crashes += 1;
  request.crashedProbes += Number(attempt.isProbe);
  const { id, replica } = attempt;
  recordDecision(request.decisions, at, { event: 'attempt-crashed', attempt: id, replica });
  return request.crashes >= URGENT_CRASHES && request.answeredLegs === 0;
};

/** Records a crash for a fingerprint; `updateHistory` publishes it to the other gateways. */
const recordAndPublishCrash = (
  state: GatewayState,
  fingerprint: Fingerprint,
  crash: Crash,
  hasCrashedMany: boolean,
  at: number,
): GatewayEffect[] => {
  const after = recordCrash(state.crashes.histories.find(fingerprint, at), crash);
  const isUrgent = hasCrashedMany || after.rounds > 1;
  const { node: from } = state.settings;
  return updateHistory(state, fingerprint, after, { from, isUrgent }, at);
};

/**
 * Counts the crash for the call and, unless another replica has answered that call, for the fingerprint: such an answer
 * clears the request whether it arrives before the crash or after it.
 */
const applyBrokenRunCrash = (
  state: GatewayState,
  run: BrokenAttempt,
  at: number,
): GatewayEffect[] => {
  const hasCrashedMany = countCrash(state, run, at);
  const { fingerprint, knownRounds, sentAt, owner } = run.attempt;
  if (owner.isProvenHarmless) {
    return [];
  }
  const crash = { knownRounds, sentAt, crashedAt: run.brokenAt };
  return recordAndPublishCrash(state, fingerprint, crash, hasCrashedMany, at);
};

const applyUnawaitedRunCrash = (
  state: GatewayState,
  { fingerprint, knownRounds, sentAt }: UnawaitedRun,
  at: number,
): GatewayEffect[] =>
  recordAndPublishCrash(state, fingerprint, { knownRounds, sentAt, crashedAt: at }, false, at);

/** Removes and returns the unawaited runs of a replica that has ended; none for a draining one, which ends as planned. */
const removeUnawaitedRuns = (
  state: GatewayState,
  replica: string,
  at: number,
): readonly UnawaitedRun[] => {
  const isDraining = state.replicas.find(replica)?.record.draining === true;
  const runs = state.unawaitedRuns.removeRuns(replica, at);
  return isDraining ? [] : runs;
};

/** Counts the crash of a replica for every request that it may have been running. */
const applyCrashToRuns = (
  state: GatewayState,
  replica: string,
  broken: readonly BrokenAttempt[],
  unawaited: readonly UnawaitedRun[],
  at: number,
): GatewayEffect[] =>
  broken.length + unawaited.length === 0
    ? []
    : [
        logCrash(state, replica, broken, unawaited),
        ...broken.flatMap((run) => applyBrokenRunCrash(state, run, at)),
        ...unawaited.flatMap((run) => applyUnawaitedRunCrash(state, run, at)),
      ];

/** The distinct requests in progress among these runs; their breaks no longer count as unchecked. */
const resolveBreaks = (
  state: GatewayState,
  broken: readonly BrokenAttempt[],
): ReadonlySet<ActiveRequest> => {
  const requests = broken.flatMap(({ attempt }) => state.requests.get(attempt.owner.call) ?? []);
  requests.forEach((request) => {
    request.uncheckedBreaks -= 1;
  });
  return new Set(requests);
};

/**
 * Handles `replica-checked`. A replica that accepts connections may have crashed and restarted, or may only have lost a
 * connection; its runs continue to be watched.
 */
export const handleReplicaChecked = (
  state: GatewayState,
  { replica, isDown, at }: ReplicaChecked,
): GatewayEffect[] => {
  const broken = state.brokenAttempts.get(replica) ?? [];
  state.brokenAttempts.delete(replica);
  const requests = resolveBreaks(state, broken);
  const unawaited = isDown ? removeUnawaitedRuns(state, replica, at) : [];
  const runs = [...broken.map(({ attempt }) => attempt), ...unawaited];
  const fingerprints = new Set(runs.map(({ fingerprint }) => fingerprint));
  const runEffects = isDown
    ? applyCrashToRuns(state, replica, broken, unawaited, at)
    : broken.flatMap(({ attempt }) => watchRun(state, attempt, at));
  return [
    ...runEffects,
    ...[...requests].flatMap((request) => progressRequest(state, request, at)),
    ...[...fingerprints].flatMap((fingerprint) => progressHeldRequests(state, fingerprint, at)),
  ];
};

/** Applies the end of a replica that was never found down: its unawaited runs count as crashed. */
export const applyReplicaCrash = (
  state: GatewayState,
  replica: string,
  at: number,
): GatewayEffect[] =>
  state.unawaitedRuns.hasRuns(replica, at)
    ? handleReplicaChecked(state, { type: 'replica-checked', replica, isDown: true, at })
    : [];
