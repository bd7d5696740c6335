/** Converts the final outcome of a query to the HTTP response for the caller. */
import { match } from 'ts-pattern';
import type { QueryOutcome, RefusalReason } from '../../core/query/query-request.js';
import { type Problem, problemResponse } from './problem.js';

type Answered = Extract<QueryOutcome, { type: 'answered' }>;
type NotRun = Extract<QueryOutcome, { type: 'not-run' }>;
type Unknown = Extract<QueryOutcome, { type: 'unknown' }>;

const REFUSALS: Readonly<Record<RefusalReason, { status: number; detail: string }>> = {
  stopping: { status: 503, detail: 'This node is stopping; ask another one.' },
  'not-ready': { status: 503, detail: 'This node does not hold the configuration yet.' },
  'unknown-route': { status: 404, detail: 'There is no such route or kind of request.' },
  'over-limit': { status: 429, detail: 'A limit of the row is reached.' },
  overloaded: { status: 503, detail: 'More work waits than can be finished in time.' },
  'no-snapshot': { status: 503, detail: 'No snapshot of the index can be served.' },
  'already-claimed': {
    status: 409,
    detail: 'An earlier request with this idempotency key may have run.',
  },
  'key-invalid': {
    status: 400,
    detail: 'The idempotency key is no UUID of version 7, or was made too long ago.',
  },
  'key-missing': { status: 400, detail: 'This row needs a key that the request lacks.' },
  'legs-refused': { status: 503, detail: 'Every back end asked refused the work.' },
};

const formatAnswer = (outcome: Answered): string =>
  JSON.stringify({
    request: outcome.request,
    snapshot: outcome.snapshot,
    coverage: outcome.shards === 0 ? 1 : outcome.contributed / outcome.shards,
    shards: outcome.shards,
    contributed: outcome.contributed,
    missing: outcome.missing,
    items: outcome.items,
    cost: outcome.cost,
  });

const answerResponse = (outcome: Answered): Response =>
  new Response(formatAnswer(outcome), {
    status: 200,
    headers: { 'content-type': 'application/json', 'x-crossroad-request': outcome.request },
  });

const notRunProblem = (outcome: NotRun): Problem => ({
  ...REFUSALS[outcome.reason],
  title: 'Not run',
  outcome: 'not-run',
  reason: outcome.reason,
  request: outcome.request,
  ...(outcome.retryAfterMs === undefined ? {} : { retryAfterMs: outcome.retryAfterMs }),
});

const unknownProblem = (outcome: Unknown): Problem => ({
  status: outcome.reason === 'timed-out' ? 504 : 502,
  title: 'Outcome unknown',
  detail: 'The request may have run; it was not repeated.',
  outcome: 'unknown',
  reason: outcome.reason,
  request: outcome.request,
});

/** Creates the response for a final outcome. */
export const outcomeResponse = (outcome: QueryOutcome): Response =>
  match(outcome)
    .with({ type: 'answered' }, answerResponse)
    .with({ type: 'not-run' }, (refused) => problemResponse(notRunProblem(refused)))
    .with({ type: 'unknown' }, (unknown) => problemResponse(unknownProblem(unknown)))
    .exhaustive();
