/** Error responses of the operator port, as `application/problem+json` (RFC 9457). */
import type { Context } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import type { Finding } from '../table/finding.js';

/** The body of an error response. */
export interface OperatorProblem {
  readonly type: 'about:blank';
  readonly title: string;
  readonly status: ContentfulStatusCode;
  readonly detail: string;
  readonly findings?: readonly Finding[];
}

const TITLES: Partial<Record<ContentfulStatusCode, string>> = {
  400: 'Malformed request',
  401: 'Key needed',
  403: 'Not allowed',
  404: 'Not found',
  413: 'Body too large',
  415: 'Unsupported media type',
  422: 'Refused with findings',
  500: 'Internal error',
  503: 'Busy',
};

/** Responds with a problem; `findings` locate the errors in the request. */
export const respondWithProblem = (
  call: Context,
  status: ContentfulStatusCode,
  detail: string,
  findings?: readonly Finding[],
): Response => {
  const title = TITLES[status] ?? 'Refused';
  const problem: OperatorProblem = {
    type: 'about:blank',
    title,
    status,
    detail,
    ...(findings === undefined ? {} : { findings }),
  };
  return call.body(JSON.stringify(problem), status, {
    'Content-Type': 'application/problem+json',
  });
};
