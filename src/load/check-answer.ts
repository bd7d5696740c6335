/**
 * Checks an answer from its content alone, as a caller can: all items belong to this call and to one
 * snapshot, and the reported coverage matches the shards whose items are in the answer.
 *
 * The checks rely on the items of the replica stand-ins, which name their shard, snapshot and nonce.
 */
import {
  AGGREGATE_ITEM_ID,
  ITEMS_PER_SHARD,
  type StandinItemValue,
} from '../standins/replica-model/answer-content.js';
import type { Call, CallAnswer, EndedCall } from './call-outcome.js';
import type { PromiseName } from '../protocol/promise-name.js';
import type { Violation } from './violation.js';

const COVERAGE_TOLERANCE = 1e-9;

type Report = (promise: PromiseName, seen: string) => void;

const valueOf = (value: unknown): Partial<StandinItemValue> =>
  typeof value === 'object' && value !== null ? (value as Partial<StandinItemValue>) : {};

const checkCounts = (answer: CallAnswer, report: Report): void => {
  const expected = answer.shards === 0 ? 0 : answer.contributed / answer.shards;
  if (Math.abs(answer.coverage - expected) > COVERAGE_TOLERANCE) {
    report('true-coverage', `coverage ${answer.coverage} is not contributed / shards`);
  }
  if (answer.contributed + answer.missing.length !== answer.shards) {
    report(
      'true-coverage',
      `${answer.contributed} contributed and ${answer.missing.length} missing of ${answer.shards}`,
    );
  }
};

const checkItems = (call: Call, answer: CallAnswer, report: Report): void => {
  const missing = new Set(answer.missing.map(({ shard }) => shard));
  const seen = new Set<string>();
  for (const item of answer.items) {
    const value = valueOf(item.value);
    if (value.nonce !== call.nonce) {
      report('own-answer-only', `an item of nonce ${value.nonce} in the answer to ${call.nonce}`);
    }
    if (value.snapshot !== answer.snapshot) {
      report('one-snapshot', `an item of ${value.snapshot} in an answer of ${answer.snapshot}`);
    }
    if (value.shard !== undefined && missing.has(value.shard)) {
      report('true-coverage', `shard ${value.shard} is listed as missing and has items`);
    }
    if (seen.has(item.id)) {
      report('own-answer-only', `item ${item.id} stands twice`);
    }
    seen.add(item.id);
  }
};

/**
 * Compares the shards of the items with the number that contributed. Skips answers of several shards
 * whose merge or item limit may have removed all items of a shard.
 */
const checkShards = (call: Call, answer: CallAnswer, report: Report): void => {
  const { row } = call.item;
  const isTruncated =
    row.merge !== 'concatenate' || answer.contributed * ITEMS_PER_SHARD > row.maxItems;
  if (isTruncated && row.fanOut === 'all') {
    return;
  }
  const shards = new Set(answer.items.map(({ value }) => valueOf(value).shard));
  if (shards.size !== answer.contributed) {
    report('true-coverage', `items of ${shards.size} shards where ${answer.contributed} are said`);
  }
};

const checkAggregate = (answer: CallAnswer, report: Report): void => {
  const total = answer.items.find(({ id }) => id === AGGREGATE_ITEM_ID)?.score ?? 0;
  if (total !== answer.contributed) {
    report('true-coverage', `sum over ${total} shards where ${answer.contributed} are said`);
  }
};

/** Checks the answer to `call`; returns one violation for each place that breaks a promise. */
export const checkAnswer = (call: Call, answer: CallAnswer): Violation[] => {
  const violations: Violation[] = [];
  const report: Report = (promise, seen) => {
    violations.push({ promise, subject: answer.request, seen });
  };
  checkCounts(answer, report);
  checkItems(call, answer, report);
  if (call.item.row.merge === 'sum') {
    checkAggregate(answer, report);
  } else {
    checkShards(call, answer, report);
  }
  return violations;
};

/** Checks an ended call; outcomes other than answers have no content to check. */
export const checkEndedCall = (ended: EndedCall): Violation[] =>
  ended.outcome.type === 'answered' ? checkAnswer(ended.call, ended.outcome) : [];
