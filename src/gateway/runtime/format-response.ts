/** Formats the final answers to callers. */
import type {
  CallerResponse,
  Header,
  MergedAnswer,
  PassThrough,
  Refusal,
  RefusalReason,
} from '../model/request.js';
import type { HeaderNames } from '../protocol/protocol.js';
import { endToEndHeaders } from './headers.js';

/** An answer in the form in which it is sent. */
export interface WireResponse {
  readonly status: number;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

const OK_STATUS = 200;
const BAD_GATEWAY_STATUS = 502;
const UNAVAILABLE_STATUS = 503;
const TIMEOUT_STATUS = 504;

const MS_PER_SECOND = 1_000;

/** The caller port sets the length. */
const LENGTH_HEADER: ReadonlySet<string> = new Set(['content-length']);

/** Statuses of refusals caused by the caller. Only a request over its limit may be retried. */
const CALLER_STATUSES: Readonly<Partial<Record<RefusalReason, number>>> = {
  'no-request-id': 400,
  'no-host': 400,
  'key-missing': 401,
  'key-unknown': 401,
  'no-route': 404,
  'body-too-large': 413,
  'headers-too-large': 431,
  'over-limit': 429,
};

/** Reasons for which a request that a replica may still be running is given up. */
const TIMEOUT_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'deadline',
  'stopping',
]);

/** Status 503 guarantees that the request has not run and will not run; 502 and 504 guarantee nothing. */
const statusOf = ({ reason, mayHaveRun }: Refusal): number => {
  const callerStatus = CALLER_STATUSES[reason];
  if (callerStatus !== undefined) {
    return callerStatus;
  }
  if (!mayHaveRun) {
    return UNAVAILABLE_STATUS;
  }
  return TIMEOUT_REASONS.has(reason) ? TIMEOUT_STATUS : BAD_GATEWAY_STATUS;
};

const formatRefusal = (refusal: Refusal): WireResponse => {
  const { retryAfterMs, reason } = refusal;
  const retryAfter =
    retryAfterMs === undefined
      ? []
      : [{ name: 'retry-after', value: String(retryAfterMs / MS_PER_SECOND) }];
  const body = Buffer.from(JSON.stringify({ error: reason }));
  return {
    status: statusOf(refusal),
    headers: [{ name: 'content-type', value: 'application/json' }, ...retryAfter],
    body,
  };
};

const formatMerged = (
  { signatures, missingShards, body }: MergedAnswer,
  names: HeaderNames,
): WireResponse => ({
  status: OK_STATUS,
  headers: [
    { name: 'content-type', value: 'application/octet-stream' },
    { name: names.partSignatures, value: signatures.join(', ') },
    { name: names.missingParts, value: String(missingShards) },
  ],
  body,
});

const formatPassThrough = ({ answer }: PassThrough): WireResponse => ({
  status: answer.status,
  headers: endToEndHeaders(answer.headers, LENGTH_HEADER),
  body: answer.body,
});

/** Formats the final answer to a caller. */
export const formatResponse = (response: CallerResponse, names: HeaderNames): WireResponse => {
  switch (response.type) {
    case 'pass-through':
      return formatPassThrough(response);
    case 'merged':
      return formatMerged(response, names);
    case 'refusal':
      return formatRefusal(response);
  }
};
