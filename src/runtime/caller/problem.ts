/** Responses other than 200, as `application/problem+json`. */
import type { Finding } from '../../table/finding.js';

/** The media type of a problem. */
export const PROBLEM_MEDIA_TYPE = 'application/problem+json';

const MS_PER_SECOND = 1_000;

/** An error response. */
export interface Problem {
  readonly status: number;
  readonly title: string;
  readonly detail: string;
  /** `not-run`: no part of the request ran; `unknown`: it may have run. */
  readonly outcome: 'not-run' | 'unknown';
  readonly reason: string;
  readonly request?: string;
  readonly retryAfterMs?: number;
  readonly findings?: readonly Finding[];
}

/** Formats the body of an error response. */
export const formatProblem = (problem: Problem): string =>
  JSON.stringify({ type: `urn:crossroad:problem:${problem.reason}`, ...problem });

/** The headers of an error response. */
const problemHeaders = (problem: Problem): Record<string, string> => {
  const headers: Record<string, string> = { 'content-type': PROBLEM_MEDIA_TYPE };
  if (problem.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(problem.retryAfterMs / MS_PER_SECOND));
  }
  if (problem.request !== undefined) {
    headers['x-crossroad-request'] = problem.request;
  }
  if (problem.status === 401) {
    headers['www-authenticate'] = 'Bearer';
  }
  return headers;
};

/** Creates the response for a problem. */
export const problemResponse = (problem: Problem): Response =>
  new Response(formatProblem(problem), {
    status: problem.status,
    headers: problemHeaders(problem),
  });
