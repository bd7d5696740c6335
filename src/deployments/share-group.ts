/** Shares a group of services of one partner's deployment with another partner. */
import type { RouteRow } from '../table/route-row.js';
import type { Deployment, ServiceGroup, WorkloadItem } from './deployment.js';

const WILDCARD = '*';

const groupNameOf = (pattern: string): string => pattern.replace(/-?\*$/, '');

const isRedirected = ({ services, safeToRepeat, fanOut }: RouteRow): boolean =>
  safeToRepeat && fanOut === 'all' && services.some((pattern) => pattern.endsWith(WILDCARD));

const redirectRow = (row: RouteRow, group: ServiceGroup): RouteRow => ({
  ...row,
  services: [`${group.name}-${WILDCARD}`],
});

/**
 * Returns the deployment of `borrower` with the group of `owner` added, at the same addresses. Rows
 * of `borrower` that query several services query the services of the shared group instead.
 */
export const shareGroup = (
  owner: Deployment,
  group: ServiceGroup,
  borrower: Deployment,
): Deployment => {
  const replacedGroups = new Set(
    borrower.rows.filter(isRedirected).flatMap(({ services }) => services.map(groupNameOf)),
  );
  const redirect = (item: WorkloadItem): WorkloadItem =>
    isRedirected(item.row) ? { ...item, row: redirectRow(item.row, group) } : item;
  const workload = borrower.workload.map(redirect);
  return {
    ...borrower,
    groups: [
      ...borrower.groups.filter(({ name }) => !replacedGroups.has(name)),
      { ...group, zones: owner.zones },
    ],
    rows: workload.map(({ row }) => row),
    workload,
  };
};
