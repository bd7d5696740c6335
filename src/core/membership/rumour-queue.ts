/**
 * Queue of rumours to be spread, those sent least often first, so that new rumours are not delayed
 * by old ones that most nodes have received.
 */
import type { NodeId } from '../identifiers.js';
import { MAX_RUMOURS } from './bounds.js';

/** Rumours about members, at most one per member. */
export interface RumourQueue {
  /** Number of times each rumour has been sent. */
  readonly sent: Map<NodeId, number>;
  /** Rumours grouped by the number of times they have been sent. */
  readonly levels: Set<NodeId>[];
}

/** Creates an empty queue. */
export const createRumourQueue = (): RumourQueue => ({ sent: new Map(), levels: [] });

/** Removes a rumour. */
export const removeRumour = (queue: RumourQueue, node: NodeId): void => {
  const sent = queue.sent.get(node);
  if (sent !== undefined) {
    queue.sent.delete(node);
    queue.levels[sent]?.delete(node);
  }
};

const insertAt = (queue: RumourQueue, node: NodeId, sent: number): void => {
  while (queue.levels.length <= sent) {
    queue.levels.push(new Set());
  }
  queue.sent.set(node, sent);
  queue.levels[sent]?.add(node);
};

const removeMostSent = (queue: RumourQueue): void => {
  for (let level = queue.levels.length - 1; level >= 0; level -= 1) {
    for (const node of queue.levels[level] ?? []) {
      removeRumour(queue, node);
      return;
    }
  }
};

/** Adds a new rumour, which replaces any other about the same member. */
export const addRumour = (queue: RumourQueue, node: NodeId): void => {
  removeRumour(queue, node);
  if (queue.sent.size >= MAX_RUMOURS) {
    removeMostSent(queue);
  }
  insertAt(queue, node, 0);
};

/** Adds `times` to the sends of a rumour; removes it when they reach `limit`. */
export const recordSends = (
  queue: RumourQueue,
  node: NodeId,
  times: number,
  limit: number,
): void => {
  const sent = queue.sent.get(node);
  if (sent === undefined) {
    return;
  }
  removeRumour(queue, node);
  if (sent + times < limit) {
    insertAt(queue, node, sent + times);
  }
};

/** Iterates over all rumours, those sent least often first. The queue must not change meanwhile. */
export function* listRumours(queue: RumourQueue): Generator<NodeId> {
  for (const level of queue.levels) {
    yield* level;
  }
}
