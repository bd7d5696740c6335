/** A run of the soak in which gateways stop while callers send requests without waiting for the answers to earlier ones. */
import { it } from 'vitest';
import { runWithoutViolations, RUN_TIMEOUT_MS } from './run-without-violations.js';

/** This seed has only planned work. */
const SEED = 10_001;
const DURATION_MS = 26_000;

it(
  'cuts off no request at a planned stop, however many are in progress on its connection',
  { timeout: RUN_TIMEOUT_MS },
  async () => {
    await runWithoutViolations(SEED, DURATION_MS, ['planned-stops']);
  },
);
