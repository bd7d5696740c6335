/** Creates the groups and routes of a plan from deployments. */
import type { Deployment, ServiceGroup, WorkloadItem } from '../deployments/deployment.js';
import { servicesOf } from '../deployments/placement.js';
import { matchesService } from '../table/backend-service.js';
import { rowKey } from '../table/row-key.js';
import type { PlanGroup, PlanInput, PlanLegs, PlanRoute } from './plan-input.js';

const groupName = (deployment: Deployment, group: ServiceGroup): string =>
  `${deployment.partner}/${group.name}`;

const planGroup = (deployment: Deployment, group: ServiceGroup): PlanGroup => ({
  name: groupName(deployment, group),
  replicas: group.services * group.replicasPerService,
  slots: group.slots,
  connections: group.connections,
  legMs: group.medianServiceMs,
});

const countServices = (item: WorkloadItem, group: ServiceGroup): number =>
  servicesOf(group).filter((service) =>
    item.row.services.some((entry) => matchesService(entry, service)),
  ).length;

const planLegs = (deployment: Deployment, item: WorkloadItem): PlanLegs[] => {
  const shards = deployment.groups.map((group) => ({
    group: groupName(deployment, group),
    legs: countServices(item, group) * group.shardsPerService,
  }));
  if (item.row.fanOut === 'all') {
    return shards.filter(({ legs }) => legs > 0);
  }
  const total = shards.reduce((sum, { legs }) => sum + legs, 0);
  return shards
    .filter(({ legs }) => legs > 0)
    .map(({ group, legs }) => ({ group, legs: legs / total }));
};

const planRoutes = (deployment: Deployment, share: number): PlanRoute[] => {
  const total = deployment.workload.reduce((sum, item) => sum + item.share, 0);
  return deployment.workload.map((item) => {
    const { concurrentLimit, perSecondLimit } = item.row;
    return {
      name: `${deployment.partner}/${rowKey(item.row)}`,
      share: (share * item.share) / total,
      legs: planLegs(deployment, item),
      ...(concurrentLimit === undefined ? {} : { concurrentLimit }),
      ...(perSecondLimit === undefined ? {} : { perSecondLimit }),
    };
  });
};

/**
 * Creates the groups, routes and zones of `deployments`; all partners send the same number of
 * queries.
 */
export const planInputOfDeployments = (
  deployments: readonly Deployment[],
): Pick<PlanInput, 'groups' | 'routes' | 'zones'> => ({
  groups: deployments.flatMap((deployment) =>
    deployment.groups.map((group) => planGroup(deployment, group)),
  ),
  routes: deployments.flatMap((deployment) => planRoutes(deployment, 1 / deployments.length)),
  zones: deployments.reduce((sum, { zones }) => sum + zones.length, 0),
});
