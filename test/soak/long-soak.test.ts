/** A run of the soak in which gateways stop while requests that take long are sent over rested connections. */
import { it } from 'vitest';
import { runWithoutViolations, RUN_TIMEOUT_MS } from './run-without-violations.js';

/** With this seed, gateways that took requests until the end of a stop cut off six of them. */
const SEED = 7_004;
const DURATION_MS = 45_000;

it(
  'cuts off no request at a planned stop, however long it takes and however late it is sent',
  { timeout: RUN_TIMEOUT_MS },
  async () => {
    await runWithoutViolations(SEED, DURATION_MS, ['planned-stops']);
  },
);
