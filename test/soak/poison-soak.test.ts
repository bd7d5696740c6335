/** A run of the soak in which requests come that end the replicas that run them. */
import { it } from 'vitest';
import { runWithoutViolations, RUN_TIMEOUT_MS } from './run-without-violations.js';

/** Its requests come often enough for calm times after they are known. */
const SEED = 1_000;
const DURATION_MS = 50_000;

it(
  'stops requests that end replicas, and keeps every promise',
  { timeout: RUN_TIMEOUT_MS },
  async () => {
    await runWithoutViolations(SEED, DURATION_MS, ['lethal-requests']);
  },
);
