/**
 * Log lines about queries that end with fewer shards than their caller requires: for each shard without an answer, its
 * attempts and what this node observed of their replicas and feeders at that time.
 */
import type { WriteLog } from '../effect.js';
import type { CoreState } from '../state.js';
import type { ActiveQuery, AttemptRecord, LegState } from './active-query.js';
import type { MissingReason } from './query-request.js';
import { isBackingOff, isSilent } from './replica-observation.js';

/** Minimum interval between two lines, in milliseconds. */
const LOG_INTERVAL_MS = 100;

/** Maximum number of missing shards described in one line. */
const MAX_LOGGED_SHARDS = 4;

const describeReplica = ({ target, ended }: AttemptRecord, at: number): string => {
  const { observed } = target;
  const states = [
    ended ? 'ended' : 'running',
    ...(observed.ejected ? ['ejected'] : []),
    ...(isSilent(observed, at) ? ['silent'] : []),
    ...(isBackingOff(observed, at) ? ['backing off'] : []),
  ];
  return `${states.join(', ')}, last response ${Math.round(at - observed.lastResponseAt)} ms ago`;
};

const describeFeeder = (state: CoreState, { feeder }: AttemptRecord, at: number): string => {
  if (feeder.node === state.self.node) {
    return 'this node';
  }
  const member = state.membership.members.get(feeder.node);
  const report = state.query.peers.get(feeder.node);
  const reportedMs =
    report === undefined ? 'never' : `${Math.round(at - report.lastReportAt)} ms ago`;
  return `${feeder.node} (${member?.state ?? 'removed'}, last report ${reportedMs})`;
};

const describeAttempt = (state: CoreState, record: AttemptRecord, at: number): string =>
  `${record.purpose} attempt at ${record.target.status.replica} (${describeReplica(record, at)}) ` +
  `through ${describeFeeder(state, record, at)}, sent ${Math.round(at - record.sentAt)} ms ago`;

const describeLeg = (
  state: CoreState,
  { shard, attempts, status, reason }: LegState,
  fallback: MissingReason,
  at: number,
): string => {
  const missing = status === 'missing' ? (reason ?? fallback) : fallback;
  const described = attempts.map((record) => describeAttempt(state, record, at)).join('; ');
  return `${shard.shard} ${missing}: ${described || 'no attempt'}`;
};

/**
 * Logs that a query ends without some of the shards it requires; at most one line per `LOG_INTERVAL_MS`.
 *
 * @param fallback - reason reported for shards that are still open
 */
export const logIncompleteAnswer = (
  state: CoreState,
  query: ActiveQuery,
  fallback: MissingReason,
  at: number,
): WriteLog[] => {
  const log = state.query.incompleteAnswers;
  if (at - log.loggedAt < LOG_INTERVAL_MS) {
    log.unlogged += 1;
    return [];
  }
  const { unlogged } = log;
  log.loggedAt = at;
  log.unlogged = 0;
  const missing = query.legs.filter(({ status }) => status !== 'answered');
  const described = missing
    .slice(0, MAX_LOGGED_SHARDS)
    .map((leg) => describeLeg(state, leg, fallback, at));
  const lateMs = Math.max(0, Math.round(at - query.checkAt));
  const elapsedMs = Math.round(at - query.startedAt);
  const allowedMs = Math.round(query.deadlineAt - query.startedAt);
  const sentence =
    `${query.request} ends with ${query.contributed} of ${query.requiredShards} required shards ` +
    `after ${elapsedMs} of ${allowedMs} ms (timer ${lateMs} ms late, ${unlogged} not logged before): ` +
    described.join(' | ');
  return [{ type: 'write-log', level: 'warn', part: 'query', sentence }];
};
