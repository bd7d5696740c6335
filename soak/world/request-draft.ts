/** Requests of the callers that send one request at a time. */
import type { Random } from '../../src/core/random.js';
import { PREFIXES } from './routes.js';

/** One in this many requests is abandoned by its caller. */
const ABANDONED_ONE_IN = 12;

/** Processing times of ordinary and of abandoned requests, in milliseconds. */
export const MIN_WORK_MS = 1;
const MAX_WORK_MS = 40;
const ABANDONED_WORK_MS = 1_400;

/** Maximum number of letters of a body. */
const MAX_BODY_LETTERS = 2_000;

/** Range of the time after which a caller abandons a request, in milliseconds, from 20 ms on. */
const MAX_WAIT_MS = 400;

/** A request before it has a path. */
export interface RequestDraft {
  readonly method: string;
  readonly prefix: string;
  readonly workMs: number;
  readonly body: string;
  readonly leavesAfterMs?: number;
}

const drawWork = (random: Random): number =>
  MIN_WORK_MS + random.nextBelow(MAX_WORK_MS - MIN_WORK_MS);

const drawBody = (random: Random): string =>
  'b'.repeat(1 + random.nextBelow(MAX_BODY_LETTERS)) + String(random.nextBelow(1_000));

/** Draws the next request of a caller. */
export const drawRequest = (random: Random): RequestDraft => {
  const workMs = drawWork(random);
  const kind = random.nextBelow(10);
  if (random.nextBelow(ABANDONED_ONE_IN) === 0) {
    const prefix = kind < 5 ? PREFIXES.gather : PREFIXES.moving;
    const leavesAfterMs = 20 + random.nextBelow(MAX_WAIT_MS);
    return { method: 'GET', prefix, workMs: ABANDONED_WORK_MS, body: '', leavesAfterMs };
  }
  if (kind < 3) {
    return { method: 'GET', prefix: PREFIXES.gather, workMs, body: '' };
  }
  if (kind < 6) {
    return { method: 'POST', prefix: PREFIXES.once, workMs, body: drawBody(random) };
  }
  const prefix = kind < 8 ? PREFIXES.moving : PREFIXES.split;
  return { method: 'GET', prefix, workMs, body: '' };
};
