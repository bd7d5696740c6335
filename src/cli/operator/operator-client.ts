/** HTTP client for the operator port of a node. */
import { setTimeout as delay } from 'node:timers/promises';
import { Left, Right, type Either } from 'purify-ts';
import { request } from 'undici';
import { z } from 'zod';
import { editOutcomeBodySchema } from '../../operator-protocol/edit-outcome-body.js';
import type { EditBody } from '../../operator-protocol/edit-body.js';
import { findingSchema } from '../../operator-protocol/shared-schemas.js';
import { revisionsBodySchema, statusBodySchema } from '../../operator-protocol/status-body.js';
import { historyBodySchema, tableBodySchema } from '../../operator-protocol/table-body.js';
import type { RevisionsBody, StatusBody } from '../../operator-protocol/status-body.js';
import type { HistoryBody, TableBody } from '../../operator-protocol/table-body.js';
import type { EditOutcome } from '../../table/edit.js';
import type { Finding } from '../../table/finding.js';

/** Timeout of a request, in milliseconds; longer than a node works on an edit. */
const ANSWER_TIMEOUT_MS = 30_000;
/** For how long an edit of unknown outcome is sent again, in milliseconds. */
export const RESEND_TIMEOUT_MS = 60_000;
/** For how long requests to a starting node are repeated, in milliseconds. */
const STARTING_TIMEOUT_MS = 15_000;
/** Time between two requests to a starting node, in milliseconds. */
const STARTING_RETRY_INTERVAL_MS = 200;
/** HTTP status from a starting node, which holds no keys yet. */
const STARTING_STATUS = 503;
/** Maximum delay before an edit is sent again, in milliseconds. */
const RESEND_WAIT_MS = 2_000;

/** An error response of a node, or the failure to get a response. */
export interface ClientProblem {
  readonly problem: string;
  readonly findings: readonly Finding[];
  /** Whether the request may succeed if it is repeated. */
  readonly isRetryable: boolean;
}

/** The operator port of a node and the key for its requests. */
export interface OperatorTarget {
  /** Base URL of the operator port. */
  readonly url: string;
  readonly secret: string;
}

interface RawAnswer {
  readonly status: number;
  readonly body: unknown;
}

const problemSchema = z.object({
  detail: z.string(),
  findings: z.array(findingSchema).exactOptional(),
});

const retryableProblem = (problem: string): Either<ClientProblem, never> =>
  Left({ problem, findings: [], isRetryable: true });

const describeError = (error: unknown): string => {
  if (error instanceof AggregateError && error.errors.length > 0) {
    return describeError(error.errors[0]);
  }
  return error instanceof Error ? error.message : String(error);
};

const send = async (
  target: OperatorTarget,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<Either<ClientProblem, RawAnswer>> => {
  try {
    const answer = await request(new URL(path, target.url), {
      method,
      headers: {
        authorization: `Bearer ${target.secret}`,
        ...(body === undefined ? {} : { 'content-type': 'application/json' }),
      },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
    });
    return Right({ status: answer.statusCode, body: await answer.body.json() });
  } catch (error) {
    return retryableProblem(`no answer from ${target.url}: ${describeError(error)}`);
  }
};

const readProblem = ({ status, body }: RawAnswer, url: string): ClientProblem => {
  const read = problemSchema.safeParse(body);
  return {
    problem: read.success ? read.data.detail : `${url} answered with status ${status}`,
    findings: read.success ? (read.data.findings ?? []) : [],
    isRetryable: status >= 500,
  };
};

const readAnswer = <Body>(
  schema: z.ZodType<Body>,
  answer: RawAnswer,
  url: string,
): Either<ClientProblem, Body> => {
  const read = schema.safeParse(answer.body);
  return read.success ? Right(read.data) : Left(readProblem(answer, url));
};

const get = async <Body>(
  target: OperatorTarget,
  path: string,
  schema: z.ZodType<Body>,
): Promise<Either<ClientProblem, Body>> =>
  (await send(target, 'GET', path)).chain((answer) => readAnswer(schema, answer, target.url));

/** Sends a request; repeats it while the node is starting, up to `STARTING_TIMEOUT_MS`. */
const sendUntilStarted = async (
  target: OperatorTarget,
  path: string,
): Promise<Either<ClientProblem, RawAnswer>> => {
  const until = Date.now() + STARTING_TIMEOUT_MS;
  for (;;) {
    const answer = await send(target, 'GET', path);
    const isStarting = answer.map(({ status }) => status === STARTING_STATUS).orDefault(false);
    if (!isStarting || Date.now() + STARTING_RETRY_INTERVAL_MS > until) {
      return answer;
    }
    await delay(STARTING_RETRY_INTERVAL_MS);
  }
};

/** Reads the whole table; waits for a node that is starting. */
export const getTable = async (target: OperatorTarget): Promise<Either<ClientProblem, TableBody>> =>
  (await sendUntilStarted(target, '/v1/table')).chain((answer) =>
    readAnswer(tableBodySchema, answer, target.url),
  );

/** Reads the history of a partner's sheet. */
export const getHistory = (
  target: OperatorTarget,
  partner: string,
): Promise<Either<ClientProblem, HistoryBody>> =>
  get(target, `/v1/table/${encodeURIComponent(partner)}/history`, historyBodySchema);

/** Reads the state of the tier. */
export const getStatus = (target: OperatorTarget): Promise<Either<ClientProblem, StatusBody>> =>
  get(target, '/v1/status', statusBodySchema);

/** Reads the revision in force on each node. */
export const getRevisions = (
  target: OperatorTarget,
): Promise<Either<ClientProblem, RevisionsBody>> =>
  get(target, '/v1/revisions', revisionsBodySchema);

const postOnce = async (
  target: OperatorTarget,
  edit: EditBody,
): Promise<Either<ClientProblem, EditOutcome>> =>
  (await send(target, 'POST', '/v1/edits', edit)).chain((answer) =>
    readAnswer(editOutcomeBodySchema, answer, target.url),
  );

const isFinal = (answer: Either<ClientProblem, EditOutcome>): boolean =>
  answer.caseOf({
    Left: ({ isRetryable }) => !isRetryable,
    Right: ({ type }) => type !== 'unknown',
  });

/**
 * Sends an edit, and sends it again while its outcome is unknown. The edit id ensures that the edit
 * is applied at most once.
 *
 * @param resendTimeoutMs - for how long the edit is sent again, in milliseconds
 */
export const postEdit = async (
  target: OperatorTarget,
  edit: EditBody,
  resendTimeoutMs = RESEND_TIMEOUT_MS,
): Promise<Either<ClientProblem, EditOutcome>> => {
  const until = Date.now() + resendTimeoutMs;
  for (;;) {
    const answer = await postOnce(target, edit);
    const wait = RESEND_WAIT_MS * (0.5 + Math.random() / 2);
    if (isFinal(answer) || Date.now() + wait > until) {
      return answer;
    }
    await delay(wait);
  }
};
