/**
 * The page that shows which revision is in force on which node, and this node's view of limits and
 * replicas.
 */
import { html } from 'hono/html';
import type { StatusBody } from '../../operator-protocol/status-body.js';
import { countWord, type Markup } from './markup.js';
import { renderNodeList } from './node-list.js';

/** Most replicas and most limits listed; of further replicas, only the number is shown. */
const LISTED_LIMIT = 200;

const renderObject = (object: StatusBody['objects'][number]): Markup =>
  html`<tr>
    <th scope="row" data-label="Object">${object.name}</th>
    <td data-label="Version" class="number">${object.version}</td>
    <td data-label="Revision" class="number">
      <a href="/in-force?revision=${object.revision}">${object.revision}</a>
    </td>
  </tr>`;

const renderObjects = ({ objects }: StatusBody): Markup => html`
  <h2>Table and agreement at this node</h2>
  <table class="plain">
    <thead>
      <tr>
        <th scope="col">Object</th>
        <th scope="col">Version</th>
        <th scope="col">Revision</th>
      </tr>
    </thead>
    <tbody>
      ${objects
        .filter(({ name }) => name === 'agreement' || name.startsWith('sheet/'))
        .map(renderObject)}
    </tbody>
  </table>
`;

const renderLimit = (limit: StatusBody['limits'][number]): Markup =>
  html`<tr>
    <th scope="row" data-label="Row">${limit.partner}/${limit.route}/${limit.kind}</th>
    <td data-label="Limit">${limit.limit}</td>
    <td data-label="Over all nodes" class="number">${limit.total}</td>
    <td data-label="Granted here" class="number">${limit.granted}</td>
    <td data-label="In use here" class="number">${limit.inUse}</td>
  </tr>`;

const renderLimits = ({ limits }: StatusBody): Markup | string =>
  limits.length === 0
    ? ''
    : html`<h2>Limits in use at this node</h2>
        <table class="plain">
          <thead>
            <tr>
              <th scope="col">Row</th>
              <th scope="col">Limit</th>
              <th scope="col">Over all nodes</th>
              <th scope="col">Granted here</th>
              <th scope="col">In use here</th>
            </tr>
          </thead>
          <tbody>
            ${limits.slice(0, LISTED_LIMIT).map(renderLimit)}
          </tbody>
        </table>`;

const renderReplica = (replica: StatusBody['replicas'][number]): Markup =>
  html`<tr>
    <th scope="row" data-label="Replica">${replica.partner}/${replica.replica}</th>
    <td data-label="Zone">${replica.zone}</td>
    <td data-label="Published as">${replica.lifecycle}</td>
    <td data-label="Seen from here" class="${replica.seen === 'used' ? 'good' : 'bad'}">
      ${replica.seen}
    </td>
    <td data-label="Mean (ms)" class="number">${replica.meanMs?.toFixed(1) ?? '–'}</td>
    <td data-label="In progress here" class="number">${replica.inProgress}</td>
    <td data-label="Slots" class="number">${replica.slots}</td>
    <td data-label="Snapshots">${replica.snapshots.join(', ')}</td>
  </tr>`;

const renderReplicas = ({ replicas }: StatusBody): Markup => {
  const hidden = replicas.length - LISTED_LIMIT;
  return html`<h2>Replicas as this node sees them</h2>
    <details>
      <summary>${countWord(replicas.length, 'replica')}</summary>
      <table class="plain">
        <thead>
          <tr>
            <th scope="col">Replica</th>
            <th scope="col">Zone</th>
            <th scope="col">Published as</th>
            <th scope="col">Seen from here</th>
            <th scope="col">Mean (ms)</th>
            <th scope="col">In progress here</th>
            <th scope="col">Slots</th>
            <th scope="col">Snapshots</th>
          </tr>
        </thead>
        <tbody>
          ${replicas.slice(0, LISTED_LIMIT).map(renderReplica)}
        </tbody>
      </table>
      ${hidden > 0 ? html`<p>${countWord(hidden, 'more replica')} not listed.</p>` : ''}
    </details>`;
};

/** Renders the page for `revision`. */
export const renderInForcePage = (status: StatusBody, revision: number): Markup => html`
  <form method="get" action="/in-force" class="filter">
    <label for="revision">Revision</label>
    <input id="revision" name="revision" inputmode="numeric" class="number" value="${revision}" />
    <button>Show</button>
  </form>
  ${renderNodeList(status, revision)} ${renderObjects(status)} ${renderLimits(status)}
  ${renderReplicas(status)}
`;
