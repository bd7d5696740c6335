/**
 * Attempts that are given up while a replica may run them: their caller left, their time is over, or what came was no
 * answer. The gateway closes their connections itself, so that none of them breaks when the replica ends. The replica is
 * watched for a while: a request that ends replicas does so also when nobody waits for it.
 */
import type { GatewayEffect } from '../effect.js';
import type { AttemptEnded } from '../event.js';
import type { GatewayState } from '../state.js';
import type { ActiveAttempt } from './request-state.js';

/**
 * A replica is watched for so long, in milliseconds: some work on after the time that they were given. A replica that ends
 * later has hardly ended by the run.
 */
const WATCH_MS = 5_000;

/**
 * Takes note of an attempt that ended without the replica's doing. A request of which some replica has sent a part ends
 * none, so that nothing is watched for what most gathers leave behind.
 */
export const noteUnawaited = (
  state: GatewayState,
  attempt: ActiveAttempt,
  { result, at }: AttemptEnded,
): GatewayEffect[] => {
  const replica = state.replicas.find(attempt.replica);
  const mayRunOn = result.type === 'failed' && result.mayHaveRun;
  if (replica === undefined || !mayRunOn || attempt.owner.answeredLegs > 0) {
    return [];
  }
  const { fingerprint, knownRounds, sentAt } = attempt;
  const watchedUntil = at + WATCH_MS;
  const run = { fingerprint, knownRounds, sentAt, watchedUntil };
  state.unawaitedRuns.add(attempt.replica, run, at);
  return [{ type: 'watch-replica', replica: replica.record, untilAt: watchedUntil }];
};
