/** A run of the soak with tenants whose keys are revoked and moved and whose quotas are exceeded and lowered. */
import { it } from 'vitest';
import { TENANT_PROMISES } from '../../soak/checker/violation.js';
import { runWithoutViolations, RUN_TIMEOUT_MS } from './run-without-violations.js';

const SEED = 4_001;
const DURATION_MS = 50_000;

it(
  'keeps every promise to tenants when keys are revoked and quotas exceeded during faults',
  { timeout: RUN_TIMEOUT_MS },
  async () => {
    await runWithoutViolations(SEED, DURATION_MS, TENANT_PROMISES);
  },
);
