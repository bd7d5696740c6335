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

/** Signals of this process, queued until a handler is set. */
export interface EarlySignals {
  /** Passes the queued actions to `handle`, and from then on each action at once. */
  setHandler(handle: (action: SignalAction) => void): void;
}

/** Starts to listen for signals. */
export const listenForSignals = (): EarlySignals => {
  const kept = new Set<SignalAction>();
  let handle = (action: SignalAction): void => void kept.add(action);
  for (const [signal, action] of Object.entries(SIGNAL_ACTIONS)) {
    process.on(signal, () => handle(action));
  }
  return {
    setHandler(next) {
      handle = next;
      kept.forEach(next);
      kept.clear();
    },
  };
};
