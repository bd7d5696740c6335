/** Which answers of replicas end a leg, and which prove that a replica can run a request. */
import type { ReplicaAnswer } from '../model/request.js';

const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECTION_STATUS = 300;

/** The lowest status that reports a failure of the replica rather than of the caller. */
export const FIRST_FAILURE_STATUS = 500;

/** Refusals: the replica did not run the request to completion (request timeout, misdirected, too many requests). */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429]);

const isSuccess = ({ status }: ReplicaAnswer): boolean =>
  status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECTION_STATUS;

/**
 * Whether an answer ends its leg. A success must be signed.
 *
 * @param isPart - the answer is a part of a gather, for which only successes are usable
 */
export const isUsable = (answer: ReplicaAnswer, isPart: boolean): boolean =>
  isSuccess(answer)
    ? answer.signature !== undefined
    : !isPart && answer.status < FIRST_FAILURE_STATUS;

/**
 * Whether an answer proves that a replica can run the request without crashing. A signed failure does not: a replica that
 * fails every request is not crashed by any.
 */
export const provesReplicaCanRun = (answer: ReplicaAnswer, isPart: boolean): boolean =>
  isUsable(answer, isPart) &&
  answer.signature !== undefined &&
  !REFUSAL_STATUSES.has(answer.status);
