/** Converts a reply of the replica model to the outcome that a node observes. */
import { identifier, type RequestId, type ShardId } from '../../core/identifiers.js';
import type { AttemptOutcome } from '../../protocol/leg-messages.js';
import type { ReplicaReply } from './leg-exchange.js';

/** Returns the outcome of an attempt; a damaged answer gives `bad-answer`. */
export const attemptOutcomeOf = (reply: ReplicaReply): AttemptOutcome => {
  switch (reply.type) {
    case 'answered':
      if (reply.damage !== 'none') {
        return { type: 'unknown', reason: 'bad-answer' };
      }
      return {
        type: 'answered',
        request: identifier<RequestId>(reply.answer.request),
        shard: identifier<ShardId>(reply.answer.shard),
        snapshot: reply.answer.snapshot,
        items: reply.answer.items,
        load: reply.answer.load,
        ...(reply.leaving ? { leaving: true } : {}),
      };
    case 'refused':
      return {
        type: 'not-run',
        reason: reply.reason,
        ...(reply.retryAfterMs === undefined ? {} : { retryAfterMs: reply.retryAfterMs }),
      };
    case 'cancelled':
      return { type: 'unknown', reason: 'cancelled' };
    case 'connection-lost':
      return { type: 'unknown', reason: 'connection-lost' };
  }
};
