/** The class of a request, which determines the order in which requests are served when capacity is scarce. */

/** Rank of a class; a lower rank is more urgent. */
export type ClassRank = number;

/** Priorities of routes are below this number; larger ones are not distinguished. */
const ROUTE_PRIORITIES = 1_000;

/**
 * Returns the rank of a request's class. The tenant's priority takes precedence over that of the route; the route's priority
 * also stands for that of a tenant without one.
 */
export const classRank = (tenantPriority: number | undefined, routePriority: number): ClassRank =>
  (tenantPriority ?? routePriority) * ROUTE_PRIORITIES +
  Math.min(routePriority, ROUTE_PRIORITIES - 1);

/** Number of steps by which a class is less urgent than the most urgent one, from the priorities of tenant and route. */
export const urgencySteps = (rank: ClassRank): number =>
  Math.max(Math.floor(rank / ROUTE_PRIORITIES), rank % ROUTE_PRIORITIES);

/** Classes that metrics distinguish by their urgency steps; all less urgent ones are counted together. */
const LABELED_STEPS = 4;

/** Label of a class in metrics; the number of different labels is bounded. */
export const classLabel = (rank: ClassRank): string => {
  const steps = Math.floor(urgencySteps(rank));
  return steps < LABELED_STEPS ? String(steps) : 'other';
};
