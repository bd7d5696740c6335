/** Divides a limit among the nodes that request it. */

/** The division of a limit. */
export interface LimitShares {
  /** Maximum amount per node while the total demand exceeds the limit; infinite otherwise. */
  readonly level: number;
  /** Amount that each node gets above its demand while the limit exceeds the total demand. */
  readonly headroom: number;
}

/** Returns the level at which smaller demands are met in full and larger ones get equal parts. */
const findLevel = (demands: readonly number[], limit: number): number => {
  const ascending = [...demands].sort((a, b) => a - b);
  let remainingLimit = limit;
  let remainingNodes = ascending.length;
  for (const demand of ascending) {
    const equalPart = remainingLimit / remainingNodes;
    if (demand > equalPart) {
      return equalPart;
    }
    remainingLimit -= demand;
    remainingNodes -= 1;
  }
  return Number.POSITIVE_INFINITY;
};

/** Divides `limit` among nodes with these demands by max-min fairness. */
export const shareLimit = (demands: readonly number[], limit: number): LimitShares => {
  const totalDemand = demands.reduce((sum, demand) => sum + demand, 0);
  return totalDemand > limit
    ? { level: findLevel(demands, limit), headroom: 0 }
    : { level: Number.POSITIVE_INFINITY, headroom: (limit - totalDemand) / (demands.length + 1) };
};
