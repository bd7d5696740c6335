/** The schedule of a planned stop. The platform kills the process when its grace period is over. */

/** Part of the grace period left when all requests must be answered, in milliseconds: answers still have to be sent. */
const ANSWER_MARGIN_MS = 500;

/** Part of the grace period left when the process ends at the latest, in milliseconds. */
const END_MARGIN_MS = 200;

/** Times of a stop, in milliseconds on the clock of the process. */
export interface StopSchedule {
  /** When the stop was requested. */
  readonly since: number;
  /** When requests in progress are given up, and further ones are refused. */
  readonly answersDueAt: number;
  /** When the process ends even if answers are still being sent. */
  readonly endAt: number;
}

/**
 * The schedule of a stop that was requested at `since`.
 *
 * @param graceMs - time until the process is killed, in milliseconds
 */
export const scheduleStop = (since: number, graceMs: number): StopSchedule => ({
  since,
  answersDueAt: since + graceMs - ANSWER_MARGIN_MS,
  endAt: since + graceMs - END_MARGIN_MS,
});
