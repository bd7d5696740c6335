/** Waits for the signal that ends a long-running command. */

/** Resolves at the first SIGINT or SIGTERM. */
export const waitForInterrupt = (): Promise<void> =>
  new Promise((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
