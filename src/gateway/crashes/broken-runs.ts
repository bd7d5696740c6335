/**
 * Attempts that broke off while a replica may have run them. Whether the replica has ended, or only the connection,
 * is looked into: a connection breaks in many ways that say nothing about the request.
 */
import type { GatewayEffect } from '../effect.js';
import type { AttemptEnded, ReplicaChecked } from '../event.js';
import type { BeliefChange } from '../log/log-event.js';
import type { AttemptProblem } from '../model/request.js';
import type { ActiveAttempt } from '../requests/request-state.js';
import type { GatewayState } from '../state.js';
import type { BrokenRun } from './broken-run.js';

/** How an attempt ends whose replica has ended. */
const BROKEN_OFF: ReadonlySet<AttemptProblem> = new Set<AttemptProblem>([
  'reset',
  'refused-connection',
  'cut-off',
]);

/** Fingerprints that a log line names. */
const MOST_NAMED = 4;

/** Whether an attempt has broken off while its replica may have run it. */
export const isBrokenOff = ({ result }: AttemptEnded): boolean =>
  result.type === 'failed' && result.mayHaveRun && BROKEN_OFF.has(result.problem);

/** Takes note of an attempt that broke off; its replica is looked at, once for all that break together. */
export const noteBrokenOff = (
  state: GatewayState,
  { replica: id, fingerprint, sentAt }: ActiveAttempt,
  at: number,
): GatewayEffect[] => {
  const replica = state.replicas.find(id);
  if (replica === undefined) {
    return [];
  }
  const known = state.brokenRuns.get(id);
  const run: BrokenRun = { fingerprint, sentAt, brokenAt: at };
  if (known !== undefined) {
    known.push(run);
    return [];
  }
  state.brokenRuns.set(id, [run]);
  return [{ type: 'check-replica', replica: replica.record }];
};

const logCrash = (
  state: GatewayState,
  replica: string,
  runs: readonly BrokenRun[],
): GatewayEffect => {
  const service = state.replicas.find(replica)?.record.service ?? '';
  state.counters.replicaCrashes.add(service);
  const fingerprints = [...new Set(runs.map(({ fingerprint }) => fingerprint))];
  const change: BeliefChange = {
    event: 'replica-crashed',
    replica,
    service,
    fingerprints: fingerprints.slice(0, MOST_NAMED),
    requests: runs.length,
  };
  return { type: 'write-log', level: 'warn', part: 'replica', change };
};

/** Handles `replica-checked`. */
export const takeReplicaChecked = (
  state: GatewayState,
  { replica, isDown }: ReplicaChecked,
): GatewayEffect[] => {
  const runs = state.brokenRuns.get(replica) ?? [];
  state.brokenRuns.delete(replica);
  return isDown && runs.length > 0 ? [logCrash(state, replica, runs)] : [];
};
