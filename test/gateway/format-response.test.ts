import { describe, expect, it } from 'vitest';
import { platformProtocol } from '../../platform/protocol.js';
import type { RefusalReason } from '../../src/gateway/model/request.js';
import { formatResponse } from '../../src/gateway/runtime/format-response.js';

/** The status of each reason if the request has not run; the type requires an entry for each new reason. */
const STATUSES: Readonly<Record<RefusalReason, number>> = {
  'no-request-id': 400,
  'no-host': 400,
  'no-route': 404,
  'key-missing': 401,
  'key-unknown': 401,
  'over-limit': 429,
  'keys-unconfirmed': 503,
  'limit-unavailable': 503,
  'no-room': 503,
  stopping: 503,
  'body-too-large': 413,
  'headers-too-large': 431,
  'no-configuration': 503,
  'no-replica': 503,
  'replicas-full': 503,
  'connection-failed': 503,
  'answer-lost': 503,
  'replica-failed': 503,
  'replicas-crashed': 503,
  'crashes-replicas': 503,
  'too-few-shards': 503,
  deadline: 503,
};

const statusOf = (reason: RefusalReason, mayHaveRun: boolean): number =>
  formatResponse({ type: 'refusal', reason, mayHaveRun }, platformProtocol.headers).status;

describe('a refusal of the gateway', () => {
  it.each(Object.entries(STATUSES))(
    'has a client error status only if the request is invalid: %s is %i',
    (reason, status) => {
      expect(statusOf(reason as RefusalReason, false)).toBe(status);
    },
  );

  it('has status 502 or 504 if the request may have run', () => {
    expect(statusOf('answer-lost', true)).toBe(502);
    expect(statusOf('deadline', true)).toBe(504);
    expect(statusOf('stopping', true)).toBe(504);
  });
});
