/** Converts SIGINT and SIGTERM to an abort signal, for commands that clean up before they exit. */

/** An abort signal for SIGINT and SIGTERM; `release` removes the signal handlers. */
export interface InterruptSignal {
  readonly signal: AbortSignal;
  release(): void;
}

/** Listens for SIGINT and SIGTERM. */
export const listenForInterrupt = (): InterruptSignal => {
  const controller = new AbortController();
  const abort = (): void => controller.abort();
  process.on('SIGINT', abort);
  process.on('SIGTERM', abort);
  return {
    signal: controller.signal,
    release: () => {
      process.off('SIGINT', abort);
      process.off('SIGTERM', abort);
    },
  };
};
