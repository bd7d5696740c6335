/**
 * Content of the answers of a replica stand-in. Each item contains its shard, its snapshot and the
 * nonce of the request, so that a caller can verify the answer.
 */
import { hash32 } from '../../core/hash.js';
import type { AnswerItem } from '../../protocol/leg-messages.js';
import type { LegRequest } from './leg-exchange.js';

/** Number of items that a shard returns, unless the request allows fewer. */
export const ITEMS_PER_SHARD = 3;

/** Identifier of the single item of an aggregated answer; each shard adds a score of 1. */
export const AGGREGATE_ITEM_ID = 'shards';

const SCORE_RANGE = 1_000_000;

/** Payload parameters that the stand-in supports; other parameters are ignored. */
export interface StandinPayload {
  /** Repeated in each item. */
  readonly nonce?: string;
  /** Requests one item with score 1 and the same identifier from each shard, for `sum` routes. */
  readonly aggregate?: boolean;
}

/** The value of each item. */
export interface StandinItemValue {
  readonly shard: string;
  readonly snapshot: number;
  readonly nonce: string;
}

const readPayload = (payload: unknown): StandinPayload =>
  typeof payload === 'object' && payload !== null ? (payload as StandinPayload) : {};

const buildItem = (leg: LegRequest, nonce: string, index: number): AnswerItem => {
  const id = `${leg.shard}/${index}`;
  const value: StandinItemValue = { shard: leg.shard, snapshot: leg.snapshot, nonce };
  return { id, score: hash32(`${id}/${nonce}`) % SCORE_RANGE, value };
};

/** Builds the items of a shard's answer to `leg`. */
export const buildItems = (leg: LegRequest): AnswerItem[] => {
  const payload = readPayload(leg.payload);
  const nonce = payload.nonce ?? '';
  if (payload.aggregate === true) {
    const value: StandinItemValue = { shard: leg.shard, snapshot: leg.snapshot, nonce };
    return [{ id: AGGREGATE_ITEM_ID, score: 1, value }];
  }
  const count = Math.min(leg.maxItems, ITEMS_PER_SHARD);
  return Array.from({ length: count }, (_, index) => buildItem(leg, nonce, index));
};
