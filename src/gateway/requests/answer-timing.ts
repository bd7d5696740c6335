/** Decides when a gather is answered with the parts that it has. */
import type { ActiveRequest } from './request-state.js';

/**
 * When a gather is answered with the parts received so far, if they reach the required coverage. Before the objective each
 * further part adds value and waiting costs nothing; after it, even a whole answer is worth little. A caller whose deadline
 * is before the objective gets the parts received by then rather than a refusal.
 */
export const answerDueAt = ({ objectiveAt, deadlineAt }: ActiveRequest): number =>
  Math.min(objectiveAt, deadlineAt);
