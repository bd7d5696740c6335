/** Calculates load, connections, feeders and grants from sizes, and reports what does not fit. */
import { connectionsOfFeeder, slotsOfFeeder } from '../core/replica/feeder-share.js';
import { validatePlan } from './validate-plan.js';
import type { PlanGroup, PlanInput, PlanRoute } from './plan-input.js';
import type { GroupPlan, NodePlan, Plan, RoutePlan } from './plan-result.js';

/** Target utilization of the core of a process, 0 to 1. */
const TARGET_CORE_UTILIZATION = 0.7;
/** Standard deviations above the mean for the node that feeds the most replicas. */
const FEEDER_DEVIATIONS = 3;
const MICROSECONDS_PER_SECOND = 1_000_000;
const MILLISECONDS_PER_SECOND = 1_000;

const sum = (values: readonly number[]): number => values.reduce((total, each) => total + each, 0);

const legsOf = (route: PlanRoute): number => sum(route.legs.map(({ legs }) => legs));

const legsPerSecondTo = (input: PlanInput, group: PlanGroup): number => {
  const legsPerQuery = input.routes.map(
    (route) =>
      route.share *
      sum(route.legs.filter((each) => each.group === group.name).map((each) => each.legs)),
  );
  return input.queriesPerSecond * sum(legsPerQuery) * (1 + input.extraLoad);
};

const planGroup = (input: PlanInput, group: PlanGroup): GroupPlan => {
  const slots = group.replicas * group.slots;
  const capacity = (slots * MILLISECONDS_PER_SECOND) / group.legMs;
  const legsPerSecond = legsPerSecondTo(input, group);
  return {
    name: group.name,
    replicas: group.replicas,
    slots,
    slotsOfFeeder: slotsOfFeeder(group.slots, input.feedersPerReplica),
    connectionsOfFeeder: connectionsOfFeeder(group.connections, input.feedersPerReplica),
    legsPerSecond,
    capacity,
    utilization: legsPerSecond / capacity,
  };
};

const slowestLegMs = (input: PlanInput, route: PlanRoute): number =>
  Math.max(
    0,
    ...input.groups
      .filter(({ name }) => route.legs.some(({ group }) => group === name))
      .map(({ legMs }) => legMs),
  );

const planRoute = (input: PlanInput, route: PlanRoute): RoutePlan => {
  const { concurrentLimit, perSecondLimit } = route;
  const queriesPerSecond = input.queriesPerSecond * route.share;
  return {
    name: route.name,
    queriesPerSecond,
    legs: legsOf(route),
    concurrent: (queriesPerSecond * slowestLegMs(input, route)) / MILLISECONDS_PER_SECOND,
    ...(concurrentLimit === undefined ? {} : { concurrentGrant: concurrentLimit / input.nodes }),
    ...(perSecondLimit === undefined ? {} : { perSecondGrant: perSecondLimit / input.nodes }),
  };
};

/** Expected number of other nodes reached by `legs` legs, if feeders are distributed uniformly. */
const peersOfQuery = (nodes: number, legs: number): number => {
  const reached = nodes * (1 - (1 - 1 / nodes) ** legs);
  return (reached * (nodes - 1)) / nodes;
};

const planNode = (input: PlanInput, groups: readonly GroupPlan[]): NodePlan => {
  const { nodes, costs } = input;
  const assignments = sum(groups.map(({ replicas }) => replicas)) * input.feedersPerReplica;
  const replicasFed = assignments / nodes;
  const connections = groups.map((group) => group.replicas * group.connectionsOfFeeder);
  const legsFed = sum(groups.map(({ legsPerSecond }) => legsPerSecond)) / nodes;
  const queriesPerSecond = input.queriesPerSecond / nodes;
  const peers = sum(input.routes.map((route) => route.share * peersOfQuery(nodes, legsOf(route))));
  // A query exchanges a batch and an answer with each peer; each message is sent once and received once.
  const messages = 4 * queriesPerSecond * peers;
  const legsInMessages = 4 * legsFed * ((nodes - 1) / nodes);
  const busy =
    legsFed * costs.legOverHttp + legsInMessages * costs.legInMessage + messages * costs.message;
  const busyCores = busy / MICROSECONDS_PER_SECOND;
  return {
    queriesPerSecond,
    replicasFed,
    replicasFedAtMost: replicasFed + FEEDER_DEVIATIONS * Math.sqrt(replicasFed),
    connections: (sum(connections) * input.feedersPerReplica) / nodes,
    legsFed,
    peersOfQuery: peers,
    messages,
    busyCores,
    processes: Math.max(1, Math.ceil(busyCores / TARGET_CORE_UTILIZATION)),
  };
};

/** Creates the plan of `input`. */
export const createPlan = (input: PlanInput): Plan => {
  const groups = input.groups.map((group) => planGroup(input, group));
  const routes = input.routes.map((route) => planRoute(input, route));
  const node = planNode(input, groups);
  return { groups, routes, node, findings: validatePlan(input, groups, routes, node) };
};
