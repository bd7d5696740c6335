/** Formats a plan as text for a terminal. */
import CliTable from 'cli-table3';
import type { Plan } from '../../plan/plan-result.js';

const PLAIN = { style: { head: [], border: [] } };

const round = (value: number): string =>
  value >= 100 ? value.toFixed(0) : String(Number(value.toPrecision(3)));

const percent = (share: number): string => `${round(share * 100)}%`;

const formatGroups = ({ groups }: Plan): string => {
  const head = ['group', 'replicas', 'slots', 'of a feeder', 'connections of a feeder'];
  const table = new CliTable({ head: [...head, 'legs/s', 'in use'], ...PLAIN });
  for (const group of groups) {
    table.push([
      group.name,
      String(group.replicas),
      String(group.slots),
      String(group.slotsOfFeeder),
      String(group.connectionsOfFeeder),
      round(group.legsPerSecond),
      percent(group.utilization),
    ]);
  }
  return table.toString();
};

const formatRoutes = ({ routes }: Plan): string => {
  const head = ['route', 'queries/s', 'legs', 'at once', 'grant at once', 'grant/s'];
  const table = new CliTable({ head, ...PLAIN });
  for (const route of routes) {
    table.push([
      route.name,
      round(route.queriesPerSecond),
      round(route.legs),
      round(route.concurrent),
      route.concurrentGrant === undefined ? 'no limit' : round(route.concurrentGrant),
      route.perSecondGrant === undefined ? 'no limit' : round(route.perSecondGrant),
    ]);
  }
  return table.toString();
};

const formatNode = ({ node }: Plan): string => {
  const table = new CliTable({ head: ['a node', 'mean'], ...PLAIN });
  table.push(
    ['queries/s', round(node.queriesPerSecond)],
    ['replicas fed', `${round(node.replicasFed)}, at most about ${round(node.replicasFedAtMost)}`],
    ['connections to replicas', round(node.connections)],
    ['legs/s to replicas', round(node.legsFed)],
    ['peers of a query', round(node.peersOfQuery)],
    ['messages/s', round(node.messages)],
    ['cores in use', round(node.busyCores)],
    ['processes needed', String(node.processes)],
  );
  return table.toString();
};

/** Formats a plan without its findings. */
export const formatPlan = (plan: Plan): string =>
  [formatGroups(plan), formatRoutes(plan), formatNode(plan)].join('\n\n');
