/** The query slice: accepts callers' requests, scatters legs, gathers their results and answers. */
import type { LegResult } from '../../protocol/leg-messages.js';
import type { Effect } from '../effect.js';
import type { Event, LinkLost, LinkMessageArrived, TimerFired } from '../event.js';
import { identifier, type CallId, type RequestId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { acceptQuery } from './accept-query.js';
import { failOverLegs } from './fail-over.js';
import { finishQuery, refuseActiveQuery } from './finish-query.js';
import { gatherAnswers } from './gather-answers.js';
import type { ActiveQuery } from './active-query.js';
import { hedgeLegs } from './hedge-legs.js';
import { areOpenLegsUnanswerable, setCheckTimer } from './hopeless-legs.js';
import { recordPeerReport, recordLinkLost } from './peer-observation.js';
import { retryPausedLegs } from './retry-legs.js';

const handleDeadlineTimer = (state: CoreState, event: TimerFired): Effect[] => {
  const query = state.query.queries.get(identifier<RequestId>(event.key.subject));
  const effects: Effect[] = [];
  if (query === undefined) {
    return effects;
  }
  if (event.at < query.deadlineAt) {
    failOverLegs(state, query, event.at, effects);
  }
  if (event.at < query.deadlineAt && !areOpenLegsUnanswerable(state, query, event.at)) {
    effects.push(setCheckTimer(query, event.at));
  } else if (query.phase === 'claiming') {
    refuseActiveQuery(state, query, 'not-ready', event.at, effects);
  } else {
    finishQuery(state, query, 'timed-out', event.at, effects);
  }
  return effects;
};

type QueryContinuation = (
  state: CoreState,
  query: ActiveQuery,
  at: number,
  effects: Effect[],
) => void;

const continueQuery = (
  state: CoreState,
  event: TimerFired,
  continuation: QueryContinuation,
): Effect[] => {
  const query = state.query.queries.get(identifier<RequestId>(event.key.subject));
  const effects: Effect[] = [];
  if (query !== undefined) {
    continuation(state, query, event.at, effects);
  }
  return effects;
};

const handleTimer = (state: CoreState, event: TimerFired): Effect[] => {
  switch (event.key.purpose) {
    case 'query-deadline':
      return handleDeadlineTimer(state, event);
    case 'query-hedge':
      return continueQuery(state, event, hedgeLegs);
    case 'query-retry':
      return continueQuery(state, event, retryPausedLegs);
    default:
      return [];
  }
};

const handleLinkMessage = (state: CoreState, event: LinkMessageArrived): Effect[] => {
  const effects: Effect[] = [];
  if (event.message.type === 'leg-results') {
    recordPeerReport(state.query.peers, event.from, event.at);
    gatherAnswers(state, event.from, event.message.results, event.at, effects);
  }
  return effects;
};

/** Ends every attempt that the lost peer holds as feeder, with outcome `unknown` and `peer-lost`. */
const handleLinkLost = (state: CoreState, event: LinkLost): Effect[] => {
  recordLinkLost(state.query.peers, event.peer, event.at);
  const lost: LegResult[] = [];
  for (const record of state.query.attempts.values()) {
    if (record.feeder.node === event.peer && !record.ended) {
      const outcome = { type: 'unknown', reason: 'peer-lost' } as const;
      lost.push({ attempt: record.attempt, outcome, queuedMs: 0, serviceMs: 0 });
    }
  }
  const effects: Effect[] = [];
  gatherAnswers(state, event.peer, lost, event.at, effects);
  return effects;
};

const handleCallerLeft = (state: CoreState, call: CallId, at: number): Effect[] => {
  const request = state.query.requestOfCall.get(call);
  const query = request && state.query.queries.get(request);
  const effects: Effect[] = [];
  if (query !== undefined && query.row.safeToRepeat) {
    finishQuery(state, query, 'cancelled', at, effects);
  }
  return effects;
};

/** Handles an event of the query slice. */
export const reduceQuery = (state: CoreState, event: Event): Effect[] => {
  switch (event.type) {
    case 'query-arrived':
      return acceptQuery(state, event);
    case 'caller-left':
      return handleCallerLeft(state, event.call, event.at);
    case 'timer-fired':
      return handleTimer(state, event);
    case 'link-message-arrived':
      return handleLinkMessage(state, event);
    case 'link-lost':
      return handleLinkLost(state, event);
    default:
      return [];
  }
};
