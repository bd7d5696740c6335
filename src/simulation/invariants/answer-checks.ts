/** Checks of answers: one snapshot, correct coverage, and only items of the caller's request. */
import type { QueryOutcome } from '../../core/query/query-request.js';
import {
  AGGREGATE_ITEM_ID,
  type StandinItemValue,
} from '../../standins/replica-model/answer-content.js';
import type { CallRecord } from '../call-record.js';
import type { RunRecord } from '../replica-record.js';
import type { ReportViolation } from './violation.js';

/** A query outcome with results. */
export type Answered = Extract<QueryOutcome, { type: 'answered' }>;

const valueOf = (value: unknown): Partial<StandinItemValue> =>
  typeof value === 'object' && value !== null ? (value as Partial<StandinItemValue>) : {};

const nonceOf = (payload: unknown): string | undefined =>
  typeof payload === 'object' && payload !== null
    ? (payload as { nonce?: string }).nonce
    : undefined;

/** Checks that every item comes from the snapshot that the answer names. */
export const checkSnapshot = (answer: Answered, report: ReportViolation): void => {
  for (const item of answer.items) {
    const { snapshot } = valueOf(item.value);
    if (snapshot !== answer.snapshot) {
      report(
        'one-snapshot',
        `${answer.request} of snapshot ${answer.snapshot} holds ${item.id} of ${String(snapshot)}`,
      );
    }
  }
};

/** Checks that every item belongs to the caller's request. */
export const checkOwnAnswer = (
  call: CallRecord,
  answer: Answered,
  report: ReportViolation,
): void => {
  const expectedNonce = nonceOf(call.query.payload);
  for (const item of answer.items) {
    const { nonce } = valueOf(item.value);
    if (nonce !== expectedNonce) {
      report(
        'own-answer-only',
        `${answer.request} asked with ${String(expectedNonce)} and got ${item.id} of ${String(nonce)}`,
      );
    }
  }
};

const checkMissing = (answer: Answered, report: ReportViolation): Set<string> => {
  const missing = new Set<string>(answer.missing.map(({ shard }) => shard));
  const counted = answer.contributed + missing.size;
  if (counted !== answer.shards || missing.size !== answer.missing.length) {
    report(
      'true-coverage',
      `${answer.request}: ${answer.contributed} contributed and ${answer.missing.length} missing of ${answer.shards} shards`,
    );
  }
  return missing;
};

const listContributors = (answer: Answered): Set<string> =>
  new Set(
    answer.items
      .filter(({ id }) => id !== AGGREGATE_ITEM_ID)
      .map(({ value }) => valueOf(value).shard ?? ''),
  );

/** What the coverage of an answer is checked against. */
export interface CoverageContext {
  /** Shards of the answer's snapshot that the query covers. */
  readonly layoutShards: ReadonlySet<string>;
  /** Attempts that replicas ran for this request. */
  readonly runs: readonly RunRecord[];
  /** Whether every contributing shard must have items in the answer. */
  readonly listsAllContributors: boolean;
}

/** Checks that the coverage counts the contributing shards, out of all shards of the snapshot. */
export const checkCoverage = (
  answer: Answered,
  context: CoverageContext,
  report: ReportViolation,
): void => {
  const missing = checkMissing(answer, report);
  if (answer.shards !== context.layoutShards.size) {
    report(
      'true-coverage',
      `${answer.request} names ${answer.shards} shards, the layout has ${context.layoutShards.size}`,
    );
  }
  const ran = new Set<string>(
    context.runs.filter(({ snapshot }) => snapshot === answer.snapshot).map(({ shard }) => shard),
  );
  const countedWithoutRun = [...context.layoutShards].filter(
    (shard) => context.layoutShards.size > 1 && !missing.has(shard) && !ran.has(shard),
  );
  const inAnswer = listContributors(answer);
  const includedWithoutRun = [...inAnswer].filter((shard) => missing.has(shard) || !ran.has(shard));
  if (countedWithoutRun.length > 0 || includedWithoutRun.length > 0) {
    report(
      'true-coverage',
      `${answer.request}: counted without a run: ${countedWithoutRun.join(' ')}; in the answer and called missing or never run: ${includedWithoutRun.join(' ')}`,
    );
  }
  if (context.listsAllContributors && inAnswer.size !== answer.contributed) {
    report(
      'true-coverage',
      `${answer.request}: ${inAnswer.size} shards in the answer, ${answer.contributed} counted`,
    );
  }
};

/** Checks that the sum of an aggregated answer equals the number of contributing shards. */
export const checkAggregate = (answer: Answered, report: ReportViolation): void => {
  const item = answer.items.find(({ id }) => id === AGGREGATE_ITEM_ID);
  if (item !== undefined && item.score !== answer.contributed) {
    report(
      'true-coverage',
      `${answer.request}: the sum counts ${item.score} shards, the coverage ${answer.contributed}`,
    );
  }
};
