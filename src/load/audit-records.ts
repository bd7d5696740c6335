/** Compares the outcomes that callers received with what ran at the replicas. */
import type { ExecutionRecord } from '../standins/replica-model/leg-exchange.js';
import type { EndedCall } from './call-outcome.js';
import type { Violation } from './violation.js';

/** The parts of a call that the audit needs; answers and items are left out. */
export interface AuditedCall {
  readonly idempotencyKey?: string;
  readonly request?: string;
  readonly notRun: boolean;
}

/** Extracts the parts that the audit needs from an ended call. */
export const auditedCallOf = (ended: EndedCall): AuditedCall => {
  const { outcome, call } = ended;
  const request = outcome.type === 'failed' ? undefined : outcome.request;
  return {
    ...(call.idempotencyKey === undefined ? {} : { idempotencyKey: call.idempotencyKey }),
    ...(request === undefined ? {} : { request }),
    notRun: outcome.type === 'not-run',
  };
};

const countBy = <Item>(
  items: Iterable<Item>,
  keyOf: (item: Item) => string | undefined,
): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const item of items) {
    const key = keyOf(item);
    if (key !== undefined) {
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  }
  return counts;
};

/**
 * Finds requests that ran although their caller received `not-run`, and requests not safe to repeat
 * that ran more than once under one idempotency key.
 */
export const auditRecords = (
  calls: readonly AuditedCall[],
  ran: readonly ExecutionRecord[],
): Violation[] => {
  const ranRequests = new Set(ran.map(({ request }) => request));
  const falselyNotRun = calls
    .filter(({ notRun, request }) => notRun && request !== undefined && ranRequests.has(request))
    .map(({ request }) => ({
      promise: 'not-run-did-not-run' as const,
      subject: request ?? '',
      seen: 'answered not-run, and it stands in the record of a replica',
    }));
  const runs = countBy(ran, (record) => (record.safeToRepeat ? undefined : record.idempotencyKey));
  const doubled = [...runs]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => ({
      promise: 'at-most-once' as const,
      subject: key,
      seen: `ran ${count} times`,
    }));
  return [...falselyNotRun, ...doubled];
};
