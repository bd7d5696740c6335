/**
 * Handles signals from the start of the process. While no listener is installed, SIGTERM and even SIGHUP terminate the
 * process and drop the connections that it has already accepted.
 */

/** What a signal requests: to stop, or to reload the settings. */
export type SignalAction = 'stop' | 'reload';

const SIGNAL_ACTIONS: Readonly<Partial<Record<NodeJS.Signals, SignalAction>>> = {
  SIGTERM: 'stop',
  SIGINT: 'stop',
  SIGHUP: 'reload',
};

/**
 * Handles what a signal requests.
 *
 * @param receivedMsAgo - time since the process received the signal, in milliseconds
 */
export type SignalHandler = (action: SignalAction, receivedMsAgo: number) => void;

/** Signals of this process, queued until a handler is set. */
export interface EarlySignals {
  /** Passes the queued actions to `handle`, and from then on each action at once. */
  setHandler(handle: SignalHandler): void;
}

/** Starts to listen for signals. */
export const listenForSignals = (): EarlySignals => {
  /** When each action was first requested, in milliseconds. */
  const kept = new Map<SignalAction, number>();
  let handle: SignalHandler = (action) => {
    if (!kept.has(action)) {
      kept.set(action, performance.now());
    }
  };
  for (const [signal, action] of Object.entries(SIGNAL_ACTIONS)) {
    process.on(signal, () => handle(action, 0));
  }
  return {
    setHandler(next) {
      handle = next;
      const now = performance.now();
      kept.forEach((receivedAt, action) => next(action, now - receivedAt));
      kept.clear();
    },
  };
};
