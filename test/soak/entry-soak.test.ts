/** A run of the soak in which replicas restart with the same identifier, and their entries are overwritten. */
import { it } from 'vitest';
import { runWithoutViolations, RUN_TIMEOUT_MS } from './run-without-violations.js';

/** With this seed the store is not restored from backups, so that overwritten entries can be checked. */
const SEED = 3_001;
const DURATION_MS = 50_000;

it(
  'keeps every promise when replicas restart, and sends no request by an overwritten entry',
  { timeout: RUN_TIMEOUT_MS },
  async () => {
    await runWithoutViolations(SEED, DURATION_MS, ['spoilt-entries']);
  },
);
