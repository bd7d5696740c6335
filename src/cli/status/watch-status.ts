/** Asks for the state of the tier, once or again and again. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Either } from 'purify-ts';
import type { StatusBody } from '../../operator-protocol/status-body.js';
import { ExitCode } from '../exit-code.js';
import type { ClientProblem } from '../operator/operator-client.js';

/** How a watch goes on. */
export interface WatchOptions {
  /** How often the node is asked in all; at least 1. */
  readonly times: number;
  /** Wait between two questions, in milliseconds. */
  readonly intervalMs: number;
  /** Ends the watch early. */
  readonly signal: AbortSignal;
  requestStatus(): Promise<Either<ClientProblem, StatusBody>>;
  print(status: StatusBody): void;
  printProblem(problem: ClientProblem): void;
}

const waitUnlessAborted = async (options: WatchOptions): Promise<void> => {
  try {
    await delay(options.intervalMs, undefined, { signal: options.signal });
  } catch {
    // The signal ends the wait; the loop looks at it next.
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
 * Asks up to `times` times. A node that gives no answer is asked again, as it may be restarting.
 *
 * @returns the exit code of the last answer; `done` when the signal ended the watch
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
