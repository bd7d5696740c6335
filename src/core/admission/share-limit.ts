/** Divides a limit over the nodes that want it. */

/** How a limit is divided. */
export interface LimitShares {
  /** Most that a node gets while nodes want more than there is; infinite otherwise. */
  readonly level: number;
  /** Given above its demand to each node while there is room. */
  readonly headroom: number;
}

/** The level at which small demands are met whole and the larger ones get equal parts. */
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

/** Divides `limit` over nodes with these demands by max-min fairness. */
export const shareLimit = (demands: readonly number[], limit: number): LimitShares => {
  const totalDemand = demands.reduce((sum, demand) => sum + demand, 0);
  return totalDemand > limit
    ? { level: findLevel(demands, limit), headroom: 0 }
    : { level: Number.POSITIVE_INFINITY, headroom: (limit - totalDemand) / (demands.length + 1) };
};
