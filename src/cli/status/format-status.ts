/** Formats the state of the tier as text for a terminal. */
import CliTable from 'cli-table3';
import type { NodeRevision, StatusBody } from '../../operator-protocol/status-body.js';

/**
 * Most nodes listed. Of a larger tier, only nodes that are not alive or do not hold the revision are
 * listed; the others are only counted by zone.
 */
const LISTED_NODES = 40;

/** Table without colours and without lines between rows. */
const PLAIN = {
  style: { head: [], border: [] },
  chars: { mid: '', 'left-mid': '', 'mid-mid': '', 'right-mid': '' },
};

type Replica = StatusBody['replicas'][number];

const formatRows = (head: readonly string[], rows: readonly string[][]): string => {
  const table = new CliTable({ head: [...head], ...PLAIN });
  table.push(...rows);
  return table.toString();
};

const groupBy = <Item>(items: readonly Item[], keyOf: (item: Item) => string) => {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key) ?? [];
    group.push(item);
    groups.set(key, group);
  }
  return groups;
};

const countWhere = <Item>(items: readonly Item[], test: (item: Item) => boolean): string =>
  String(items.filter(test).length);

const isBehind = (node: NodeRevision, revision: number): boolean =>
  node.revision === null || node.revision < revision;

const formatZones = (status: StatusBody): string =>
  formatRows(
    ['zone', 'alive', 'suspect', 'leaving', 'dead', 'revision not confirmed'],
    [...groupBy(status.nodes, ({ zone }) => zone)].map(([zone, nodes]) => [
      zone,
      countWhere(nodes, ({ state }) => state === 'alive'),
      countWhere(nodes, ({ state }) => state === 'suspect'),
      countWhere(nodes, ({ state }) => state === 'leaving'),
      countWhere(nodes, ({ state }) => state === 'dead'),
      countWhere(nodes, (node) => node.state !== 'dead' && isBehind(node, status.revision)),
    ]),
  );

const formatNode = (node: NodeRevision): string[] => [
  node.node,
  node.zone,
  node.state,
  String(node.incarnation),
  node.revision === null ? 'not reported yet' : String(node.revision),
];

const formatNodes = (status: StatusBody, all: boolean): string => {
  const isListed = (node: NodeRevision): boolean =>
    node.state !== 'alive' || isBehind(node, status.revision);
  const whole = all || status.nodes.length <= LISTED_NODES;
  const listed = whole ? status.nodes : status.nodes.filter(isListed);
  const shown = all ? listed : listed.slice(0, LISTED_NODES);
  const hidden = status.nodes.length - shown.length;
  const rest = hidden > 0 ? `\n${hidden} more nodes are not listed; see --all` : '';
  return shown.length === 0
    ? `All ${status.nodes.length} nodes are alive, and the revision is in force on each.`
    : formatRows(['node', 'zone', 'state', 'incarnation', 'revision'], shown.map(formatNode)) +
        rest;
};

const formatServices = ({ replicas }: StatusBody): string =>
  formatRows(
    ['service', 'replicas', 'ready', 'warming', 'leaving', 'avoided here', 'in progress here'],
    [...groupBy(replicas, ({ partner, service }: Replica) => `${partner}/${service}`)].map(
      ([service, group]) => [
        service,
        String(group.length),
        countWhere(group, ({ lifecycle }) => lifecycle === 'ready'),
        countWhere(group, ({ lifecycle }) => lifecycle === 'warming'),
        countWhere(group, ({ lifecycle }) => lifecycle === 'leaving'),
        countWhere(group, ({ seen }) => seen !== 'used'),
        String(group.reduce((sum, { inProgress }) => sum + inProgress, 0)),
      ],
    ),
  );

const formatReplicas = ({ replicas }: StatusBody): string =>
  formatRows(
    [
      'replica',
      'service',
      'zone',
      'published as',
      'seen from here',
      'mean (ms)',
      'in progress here',
      'snapshots',
    ],
    replicas.map((replica) => [
      `${replica.partner}/${replica.replica}`,
      replica.service,
      replica.zone,
      replica.lifecycle,
      replica.seen,
      replica.meanMs === null ? '' : replica.meanMs.toFixed(1),
      `${replica.inProgress} of ${replica.slots} slots`,
      replica.snapshots.join(' '),
    ]),
  );

const formatLimits = ({ limits }: StatusBody): string =>
  limits.length === 0
    ? 'No limit is in use at this node.'
    : formatRows(
        ['row', 'limit', 'over all nodes', 'granted here', 'in use here'],
        limits.map(({ partner, route, kind, limit, total, granted, inUse }) => [
          `${partner}/${route}/${kind}`,
          limit,
          String(total),
          granted.toFixed(1),
          inUse.toFixed(1),
        ]),
      );

const formatObjects = ({ objects }: StatusBody): string =>
  formatRows(
    ['object', 'version', 'revision'],
    objects
      .filter(({ name }) => !name.startsWith('status/'))
      .map(({ name, version, revision }) => [name, String(version), String(revision)]),
  );

/**
 * Formats the state of the tier.
 *
 * @param all - lists all nodes and all replicas
 */
export const formatStatus = (status: StatusBody, all: boolean): string =>
  [
    `node ${status.node} in zone ${status.zone}: ${status.phase}, revision ${status.revision} in force`,
    'Members',
    formatZones(status),
    formatNodes(status, all),
    'Objects in force',
    formatObjects(status),
    'Limits',
    formatLimits(status),
    'Replicas as this node sees them',
    all ? formatReplicas(status) : formatServices(status),
  ].join('\n');
