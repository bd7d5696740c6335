/** Requests the state of the tier once or at intervals. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Either } from 'purify-ts';
import type { StatusBody } from '../../operator-protocol/status-body.js';
import { ExitCode } from '../exit-code.js';
import type { ClientProblem } from '../operator/operator-client.js';

/** Options of `watchStatus`. */
export interface WatchOptions {
  /** Total number of requests; at least 1. */
  readonly times: number;
  /** Time between two requests, in milliseconds. */
  readonly intervalMs: number;
  /** Ends the watch before `times` requests. */
  readonly signal: AbortSignal;
  requestStatus(): Promise<Either<ClientProblem, StatusBody>>;
  print(status: StatusBody): void;
  printProblem(problem: ClientProblem): void;
}

const waitUnlessAborted = async (options: WatchOptions): Promise<void> => {
  try {
    await delay(options.intervalMs, undefined, { signal: options.signal });
  } catch {
    // The signal ended the wait; the caller's loop checks it next.
  }
};

const requestAndPrint = async (options: WatchOptions): Promise<ExitCode> =>
  (await options.requestStatus()).caseOf<ExitCode>({
    Left: (problem) => {
      options.printProblem(problem);
      return ExitCode.failed;
    },
    Right: (status) => {
      options.print(status);
      return ExitCode.done;
    },
  });

/**
 * Requests and prints the state up to `times` times. Continues after a failed request, as the node
 * may be restarting.
 *
 * @returns the exit code of the last request; `done` if the signal ended the watch
 */
export const watchStatus = async (options: WatchOptions): Promise<ExitCode> => {
  let code: ExitCode = ExitCode.done;
  for (let asked = 0; asked < options.times; asked += 1) {
    if (asked > 0) {
      await waitUnlessAborted(options);
    }
    if (options.signal.aborted) {
      return ExitCode.done;
    }
    code = await requestAndPrint(options);
  }
  return code;
};
