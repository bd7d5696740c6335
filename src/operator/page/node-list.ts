/** Tables of zones and nodes that show where a revision is in force. */
import { html } from 'hono/html';
import type { NodeRevision, RevisionsBody } from '../../operator-protocol/status-body.js';
import { countWord, formatCount, type Markup } from './markup.js';

/** Most nodes listed by name; the others are only counted. */
const LISTED_LIMIT = 200;

const isLive = (node: NodeRevision): boolean => node.state === 'alive' || node.state === 'suspect';

/** Whether a node is known to hold `revision`. */
const holds = (node: NodeRevision, revision: number): boolean =>
  node.revision !== null && node.revision >= revision;

const renderZone = (zone: string, nodes: readonly NodeRevision[], revision: number): Markup => {
  const live = nodes.filter(isLive);
  const holding = live.filter((node) => holds(node, revision)).length;
  return html`<tr>
    <th scope="row" data-label="Zone">${zone}</th>
    <td data-label="Live nodes" class="number">${formatCount(live.length)}</td>
    <td data-label="In force on" class="number">${formatCount(holding)}</td>
    <td data-label="Not confirmed" class="number">${formatCount(live.length - holding)}</td>
  </tr>`;
};

const renderNode = (node: NodeRevision, revision: number): Markup => {
  const inForce = holds(node, revision);
  return html`<tr>
    <th scope="row" data-label="Node">${node.node}</th>
    <td data-label="Zone">${node.zone}</td>
    <td data-label="State">${node.state}</td>
    <td data-label="Revision" class="number">
      ${node.revision === null ? 'not reported yet' : node.revision}
    </td>
    <td data-label="In force" class="${inForce ? 'good' : 'bad'}">
      ${inForce ? 'yes' : 'not yet'}
    </td>
  </tr>`;
};

const groupByZone = (nodes: readonly NodeRevision[]): Map<string, NodeRevision[]> => {
  const zones = new Map<string, NodeRevision[]>();
  for (const node of nodes) {
    zones.set(node.zone, [...(zones.get(node.zone) ?? []), node]);
  }
  return zones;
};

/** Describes in one sentence on how many live nodes a revision is in force. */
export const describeNodesInForce = (revisions: RevisionsBody, revision: number): string => {
  const live = revisions.nodes.filter(isLive);
  const holding = live.filter((node) => holds(node, revision)).length;
  return `Revision ${String(revision)} is known to be in force on ${formatCount(holding)} of ${countWord(live.length, 'live node')}.`;
};

/** Renders the tables of zones and nodes for one revision. */
export const renderNodeList = (revisions: RevisionsBody, revision: number): Markup => {
  const listRank = (node: NodeRevision): number => (isLive(node) && !holds(node, revision) ? 0 : 1);
  const listed = [...revisions.nodes].sort((left, right) => listRank(left) - listRank(right));
  const hidden = listed.length - LISTED_LIMIT;
  return html`
    <p class="notice" role="status">${describeNodesInForce(revisions, revision)}</p>
    <h2>Zones</h2>
    <table class="plain">
      <thead>
        <tr>
          <th scope="col">Zone</th>
          <th scope="col">Live nodes</th>
          <th scope="col">In force on</th>
          <th scope="col">Not confirmed</th>
        </tr>
      </thead>
      <tbody>
        ${[...groupByZone(revisions.nodes)].map(([zone, nodes]) =>
          renderZone(zone, nodes, revision),
        )}
      </tbody>
    </table>
    <h2>Nodes</h2>
    <p class="hint">
      Live nodes on which the revision is not known to be in force are listed first.
    </p>
    <table class="plain">
      <thead>
        <tr>
          <th scope="col">Node</th>
          <th scope="col">Zone</th>
          <th scope="col">State</th>
          <th scope="col">Revision</th>
          <th scope="col">In force</th>
        </tr>
      </thead>
      <tbody>
        ${listed.slice(0, LISTED_LIMIT).map((node) => renderNode(node, revision))}
      </tbody>
    </table>
    ${hidden > 0 ? html`<p>${countWord(hidden, 'more node')} not listed.</p>` : ''}
  `;
};
