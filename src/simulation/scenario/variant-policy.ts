/** Query policies of the variants of a scenario. */
import type { QueryPolicy } from '../../core/query/query-policy.js';
import type { VariantName } from '../../experiment/scenario.js';

const RANDOM_SCATTER: Partial<QueryPolicy> = {
  replicaChoice: 'random',
  hedging: 'none',
  retries: false,
  feederOrder: 'first-come',
};

const POLICIES: Readonly<Record<VariantName, Partial<QueryPolicy>>> = {
  default: {},
  random: RANDOM_SCATTER,
  'fixed-hedge': { ...RANDOM_SCATTER, hedging: 'fixed' },
};

/** Returns the fields of the query policy that `variant` changes from the default. */
export const policyOf = (variant: VariantName): Partial<QueryPolicy> => POLICIES[variant];
