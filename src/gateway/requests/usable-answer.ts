/** Which answers of replicas are taken, and which show that a replica can run a request. */
import type { ReplicaAnswer } from '../model/request.js';

const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECTION_STATUS = 300;

/** The first status that says that the replica, and not the caller, is at fault. */
export const FIRST_FAILURE_STATUS = 500;

/** Refusals: the replica has not run the request, or not to its end (request timeout, misdirected, too many requests). */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429]);

const isSuccess = ({ status }: ReplicaAnswer): boolean =>
  status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECTION_STATUS;

/**
 * Whether an answer ends its leg. A success counts with its signature only.
 *
 * @param isPart - the answer is a part of a gather, which takes nothing but successes
 */
export const isUsable = (answer: ReplicaAnswer, isPart: boolean): boolean =>
  isSuccess(answer)
    ? answer.signature !== undefined
    : !isPart && answer.status < FIRST_FAILURE_STATUS;

/**
 * Whether an answer shows that a replica can run the request and go on. A failure does not, though a replica has signed
 * it: one that fails whatever it is asked ends under none.
 */
export const provesReplicaCanRun = (answer: ReplicaAnswer, isPart: boolean): boolean =>
  isUsable(answer, isPart) &&
  answer.signature !== undefined &&
  !REFUSAL_STATUSES.has(answer.status);
