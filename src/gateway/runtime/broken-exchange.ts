/** Names the problem of an attempt whose connection did not open, or ended before the whole answer was received. */
import type { AttemptProblem } from '../model/request.js';
import { ConnectTimeoutError } from './sockets.js';

/** Code of the error of a connection that was accepted and reset before it was reported as open. */
const RESET_CODE = 'ECONNRESET';

/** The problem of an attempt for which no connection could be opened. */
export const problemOfConnectError = (error: NodeJS.ErrnoException): AttemptProblem => {
  if (error instanceof ConnectTimeoutError) {
    return 'connect-timeout';
  }
  return error.code === RESET_CODE ? 'refused-connection' : 'connect-refused';
};

/** What is known of an exchange whose connection ended before the whole answer was received. */
export interface BrokenExchange {
  /** Whether any byte was received in answer to the request, be it of an interim answer. */
  readonly hasBegun: boolean;
  /** Whether an earlier answer was received over the connection. */
  readonly isReused: boolean;
  /** Time from when the request was sent to the end of the connection, in milliseconds. */
  readonly elapsedMs: number;
  /** How long it took to open the connection, in milliseconds. */
  readonly connectMs: number;
}

/**
 * A replica that has too many connections resets a new one when it accepts it: within this time after a round trip, in
 * milliseconds. One that ends a connection later may have run the request and lost the answer.
 */
const MAX_REFUSAL_DELAY_MS = 50;

const isRefusal = ({ isReused, elapsedMs, connectMs }: BrokenExchange): boolean =>
  !isReused && elapsedMs <= connectMs + MAX_REFUSAL_DELAY_MS;

/** The problem with which the attempt ends; `attempt-problems.ts` has what follows from it. */
export const problemOfBreak = (exchange: BrokenExchange): AttemptProblem => {
  if (exchange.hasBegun) {
    return 'cut-off';
  }
  return isRefusal(exchange) ? 'refused-connection' : 'reset';
};
