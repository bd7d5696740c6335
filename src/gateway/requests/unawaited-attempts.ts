/**
 * Attempts that are given up while a replica may still be running them: the caller left, the deadline passed, or the
 * response was invalid. The gateway closes their connections itself, so a crash of the replica does not show as a broken
 * connection. The replica is watched for a while instead: a poison request crashes it even when nobody waits for the
 * answer.
 */
import { UNAWAITED_RUN_WATCH_MS } from '../crashes/crash-history.js';
import type { GatewayEffect } from '../effect.js';
import type { AttemptEnded } from '../event.js';
import type { GatewayState } from '../state.js';
import type { ActiveAttempt } from './request-state.js';

/**
 * Records a run that may still be in progress and watches its replica. A call that a replica has answered, whole or in part,
 * is no poison request, so the leftover attempts of most gathers are not watched. A refusal is no such answer.
 */
export const watchRun = (
  state: GatewayState,
  { fingerprint, knownRounds, sentAt, owner, replica: id }: ActiveAttempt,
  at: number,
): GatewayEffect[] => {
  const replica = state.replicas.find(id);
  if (replica === undefined || owner.isProvenHarmless) {
    return [];
  }
  const watchedUntil = at + UNAWAITED_RUN_WATCH_MS;
  state.unawaitedRuns.add(id, { fingerprint, knownRounds, sentAt, watchedUntil }, at);
  return [{ type: 'watch-replica', replica: replica.record, untilAt: watchedUntil }];
};

/** Watches the run of an attempt that failed without a broken connection, if the replica may have run it. */
export const recordUnawaited = (
  state: GatewayState,
  attempt: ActiveAttempt,
  { result, at }: AttemptEnded,
): GatewayEffect[] =>
  result.type === 'failed' && result.mayHaveRun ? watchRun(state, attempt, at) : [];
