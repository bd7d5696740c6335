/** A run of the soak with poison requests, which crash the replicas that run them. */
import { it } from 'vitest';
import { runWithoutViolations, RUN_TIMEOUT_MS } from './run-without-violations.js';

/** With this seed, poison requests are frequent enough to be sent in undisturbed periods after they are known. */
const SEED = 1_000;
const DURATION_MS = 50_000;

it('keeps every promise, and blocks poison requests', { timeout: RUN_TIMEOUT_MS }, async () => {
  await runWithoutViolations(SEED, DURATION_MS, ['poison-requests']);
});
