/**
 * The extra-load budget of a row at this node: a token bucket that is credited with a fraction of a
 * token for each leg a query needs. A hedge, a probe, or a retry of an attempt that may have run costs
 * one token.
 */

/** Capacity of the bucket, in legs: the credit of this many legs. */
const BUCKET_LEGS = 400;
/** Credit of a new bucket, in legs. */
const INITIAL_LEGS = 100;
/** Maximum debt, in tokens; regular spending resumes once the debt is repaid. */
const DEBT_LIMIT = 50;

/** A token bucket for extra attempts. */
export interface ExtraLoadBudget {
  tokens: number;
  /** Allowed extra load as a share of the legs needed, 0 to 1. */
  share: number;
}

/** Creates the bucket of a row that allows `share` of extra load. */
export const createExtraLoadBudget = (share: number): ExtraLoadBudget => ({
  tokens: share * INITIAL_LEGS,
  share,
});

/** Credits the bucket for `legs` needed legs and updates its share. */
export const creditExtraLoad = (budget: ExtraLoadBudget, share: number, legs: number): void => {
  budget.share = share;
  budget.tokens = Math.min(share * BUCKET_LEGS, budget.tokens + share * legs);
};

/** Spends one token; returns false and spends nothing if less than one token is left. */
export const spendExtraLoad = (budget: ExtraLoadBudget): boolean => {
  if (budget.tokens < 1) {
    return false;
  }
  budget.tokens -= 1;
  return true;
};

/** Spends one token, on credit if necessary: for a silent replica, a lost feeder or a lost connection. */
export const spendExtraLoadOnCredit = (budget: ExtraLoadBudget): boolean => {
  if (budget.tokens <= -DEBT_LIMIT) {
    return false;
  }
  budget.tokens -= 1;
  return true;
};

/** Returns the fill level of the bucket, 0 to 1. */
export const budgetLevel = (budget: ExtraLoadBudget): number =>
  Math.max(0, Math.min(1, budget.tokens / Math.max(1, budget.share * BUCKET_LEGS)));
