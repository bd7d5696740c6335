/**
 * Attempts that are given up while a replica may run them: their caller left, their time is over, or what came was no
 * answer. The gateway closes their connections itself, so that none of them breaks when the replica ends. The replica is
 * watched for a while: a request that ends replicas does so also when nobody waits for it.
 */
import { UNAWAITED_RUN_WATCH_MS } from '../crashes/crash-history.js';
import type { GatewayEffect } from '../effect.js';
import type { AttemptEnded } from '../event.js';
import type { GatewayState } from '../state.js';
import type { ActiveAttempt } from './request-state.js';

/**
 * Remembers a run that its replica may still work on, and has the replica watched. A request of which some replica has sent
 * a part ends none, so that nothing is watched for what most gathers leave behind.
 */
export const watchRun = (
  state: GatewayState,
  { fingerprint, knownRounds, sentAt, owner, replica: id }: ActiveAttempt,
  at: number,
): GatewayEffect[] => {
  const replica = state.replicas.find(id);
  if (replica === undefined || owner.answeredLegs > 0) {
    return [];
  }
  const watchedUntil = at + UNAWAITED_RUN_WATCH_MS;
  state.unawaitedRuns.add(id, { fingerprint, knownRounds, sentAt, watchedUntil }, at);
  return [{ type: 'watch-replica', replica: replica.record, untilAt: watchedUntil }];
};

/** Takes note of an attempt that ended without the replica's doing. */
export const noteUnawaited = (
  state: GatewayState,
  attempt: ActiveAttempt,
  { result, at }: AttemptEnded,
): GatewayEffect[] =>
  result.type === 'failed' && result.mayHaveRun ? watchRun(state, attempt, at) : [];
