/**
 * Takes signals from the first moment of the process. Until a program listens for them, a stop and even the word
 * that the settings have changed end it, and with it the callers whose connections it has accepted.
 */

/** What a process is told by signals: to stop, or that its settings have changed. */
export type SignalAction = 'stop' | 'reload';

const SIGNAL_ACTIONS: Readonly<Partial<Record<NodeJS.Signals, SignalAction>>> = {
  SIGTERM: 'stop',
  SIGINT: 'stop',
  SIGHUP: 'reload',
};

/** The signals of this process, kept until somebody takes them. */
export interface EarlySignals {
  /** Hands over what has come, and from now on each action as it comes. */
  setHandler(handle: (action: SignalAction) => void): void;
}

/** Begins to listen for signals. */
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
