/** A run of the soak in which replicas start again under their identifiers, and other writers spoil their entries. */
import { it } from 'vitest';
import { runWithoutViolations, RUN_TIMEOUT_MS } from './run-without-violations.js';

/** Its store does not return from copies, so that entries are judged. */
const SEED = 3_001;
const DURATION_MS = 50_000;

it(
  'sends nothing by spoilt entries, and keeps every promise where replicas start again',
  { timeout: RUN_TIMEOUT_MS },
  async () => {
    await runWithoutViolations(SEED, DURATION_MS, ['spoilt-entries']);
  },
);
