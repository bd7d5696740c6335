/**
 * Rumours waiting to be spread, those sent least often first: news is not held up by what most have
 * heard already, however much of that there is.
 */
import type { NodeId } from '../identifiers.js';
import { MAX_RUMOURS } from './bounds.js';

/** Rumours about members, one for each. */
export interface RumourQueue {
  /** How often each has been sent. */
  readonly sent: Map<NodeId, number>;
  /** By how often they have been sent. */
  readonly levels: Set<NodeId>[];
}

/** Creates an empty queue. */
export const createRumourQueue = (): RumourQueue => ({ sent: new Map(), levels: [] });

/** Takes a rumour out. */
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

/** Adds a rumour that nobody has heard yet, in place of any about the same member. */
export const addRumour = (queue: RumourQueue, node: NodeId): void => {
  removeRumour(queue, node);
  if (queue.sent.size >= MAX_RUMOURS) {
    removeMostSent(queue);
  }
  insertAt(queue, node, 0);
};

/** Counts a rumour as sent `times` more; it is dropped when it has been sent `limit` times. */
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

/** All rumours, those sent least often first. The queue must not change meanwhile. */
export function* listRumours(queue: RumourQueue): Generator<NodeId> {
  for (const level of queue.levels) {
    yield* level;
  }
}
