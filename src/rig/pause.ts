/** Functions that wait for a time or a condition. */
import { setTimeout as pause } from 'node:timers/promises';

/** Polls `condition` every `pollMs` milliseconds; resolves to whether it held within `withinMs`. */
export const waitUntil = async (
  condition: () => Promise<boolean>,
  withinMs: number,
  pollMs: number,
): Promise<boolean> => {
  const giveUpAt = performance.now() + withinMs;
  while (performance.now() < giveUpAt) {
    if (await condition()) {
      return true;
    }
    await pause(pollMs);
  }
  return false;
};

export { pause };
