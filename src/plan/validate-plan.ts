/** Validation of a plan: errors for what does not fit, warnings for little spare capacity. */
import type { Finding } from '../table/finding.js';
import type { PlanGroup, PlanInput } from './plan-input.js';
import type { GroupPlan, NodePlan, RoutePlan } from './plan-result.js';

/** Utilization of a group above which queues grow long. */
const HIGH_UTILIZATION = 0.7;

const error = (place: string, problem: string, allowed?: string): Finding =>
  allowed === undefined
    ? { severity: 'error', place, problem }
    : { severity: 'error', place, problem, allowed };

const warning = (place: string, problem: string): Finding => ({
  severity: 'warning',
  place,
  problem,
});

const percent = (share: number): string => `${(share * 100).toFixed(0)}%`;

const checkZones = (input: PlanInput): Finding[] => {
  const nodesOfZone = Math.floor(input.nodes / input.zones);
  if (nodesOfZone === 0) {
    const problem = `${input.nodes} nodes leave some of ${input.zones} zones without a node`;
    return [warning('zones', problem)];
  }
  return nodesOfZone < input.feedersPerReplica
    ? [
        error(
          'zones',
          `a zone has ${nodesOfZone} nodes and each replica ${input.feedersPerReplica} feeders`,
          'no more feeders than nodes of a zone',
        ),
      ]
    : [];
};

const checkFeederShares = (input: PlanInput, group: PlanGroup, plan: GroupPlan): Finding[] => {
  const { feedersPerReplica } = input;
  const place = `group ${group.name}`;
  const slots = plan.slotsOfFeeder * feedersPerReplica;
  const connections = plan.connectionsOfFeeder * feedersPerReplica;
  return [
    ...(slots > group.slots
      ? [error(place, `${feedersPerReplica} feeders fill ${slots} of ${group.slots} slots`)]
      : []),
    ...(slots < group.slots
      ? [warning(place, `the feeders leave ${group.slots - slots} of ${group.slots} slots unused`)]
      : []),
    ...(connections > group.connections
      ? [error(place, `the feeders hold ${connections} of ${group.connections} connections`)]
      : []),
    ...(plan.connectionsOfFeeder < plan.slotsOfFeeder
      ? [error(place, 'a feeder has fewer connections than slots')]
      : []),
  ];
};

const checkUtilization = (plan: GroupPlan): Finding[] => {
  const place = `group ${plan.name}`;
  const load = `${percent(plan.utilization)} of the capacity of ${Math.floor(plan.capacity)} legs a second`;
  if (plan.utilization > 1) {
    return [error(place, `needs ${load}`)];
  }
  return plan.utilization > HIGH_UTILIZATION
    ? [warning(place, `uses ${load}; queues grow above ${percent(HIGH_UTILIZATION)}`)]
    : [];
};

const checkGrants = (route: RoutePlan): Finding[] => {
  const place = `route ${route.name}`;
  const small = [route.concurrentGrant, route.perSecondGrant].some(
    (grant) => grant !== undefined && grant < 1,
  );
  return small
    ? [warning(place, 'the grant of a node is less than one; connect the callers to fewer nodes')]
    : [];
};

const checkLimits = (input: PlanInput, plan: RoutePlan): Finding[] => {
  const route = input.routes.find(({ name }) => name === plan.name);
  const place = `route ${plan.name}`;
  const { concurrentLimit, perSecondLimit } = route ?? {};
  return [
    ...(perSecondLimit !== undefined && plan.queriesPerSecond > perSecondLimit
      ? [
          error(
            place,
            `${plan.queriesPerSecond} queries a second exceed its limit`,
            `${perSecondLimit}`,
          ),
        ]
      : []),
    ...(concurrentLimit !== undefined && plan.concurrent > concurrentLimit
      ? [error(place, `${plan.concurrent} queries at once exceed its limit`, `${concurrentLimit}`)]
      : []),
  ];
};

const checkNode = (node: NodePlan): Finding[] =>
  node.processes > 1
    ? [
        error(
          'node',
          `needs ${node.busyCores.toFixed(2)} cores, but a process uses only one`,
          `${node.processes} processes in place of each node`,
        ),
      ]
    : [];

/** Lists the findings of a plan, errors first. */
export const validatePlan = (
  input: PlanInput,
  groups: readonly GroupPlan[],
  routes: readonly RoutePlan[],
  node: NodePlan,
): Finding[] => {
  const findings = [
    ...checkZones(input),
    ...input.groups.flatMap((group, index) => {
      const plan = groups[index];
      return plan === undefined
        ? []
        : [...checkFeederShares(input, group, plan), ...checkUtilization(plan)];
    }),
    ...routes.flatMap((route) => [...checkGrants(route), ...checkLimits(input, route)]),
    ...checkNode(node),
  ];
  const errors = findings.filter(({ severity }) => severity === 'error');
  return [...errors, ...findings.filter(({ severity }) => severity === 'warning')];
};
