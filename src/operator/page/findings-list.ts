/** The list of findings at the top of a page, with links to the cells concerned. */
import { html } from 'hono/html';
import { cellId } from './cell-editor.js';
import { formatFindingText } from './finding-text.js';
import type { FormFinding } from './form-edit.js';
import { countWord, type Markup } from './markup.js';

/** Most findings shown on a page; the others are only counted. */
const SHOWN_LIMIT = 100;

const renderPlace = (finding: FormFinding): Markup | string =>
  finding.position === undefined
    ? finding.place
    : html`<a href="#${cellId(finding.position, finding.column ?? 'route')}">${finding.place}</a>`;

const renderFinding = (finding: FormFinding): Markup => html`
  <li class="${finding.severity}">
    <b>${finding.severity}</b> ${renderPlace(finding)}: ${formatFindingText(finding)}
  </li>
`;

/** Renders findings; the empty string when there are none. */
export const renderFindingsList = (findings: readonly FormFinding[]): Markup | string => {
  if (findings.length === 0) {
    return '';
  }
  const hidden = findings.length - SHOWN_LIMIT;
  const kind = findings.some(({ severity }) => severity === 'error') ? 'error' : 'warning';
  return html`<section class="notice ${kind}" role="alert" tabindex="-1" autofocus>
    <h2>${countWord(findings.length, 'finding')}</h2>
    <ul class="findings">
      ${findings.slice(0, SHOWN_LIMIT).map(renderFinding)}
    </ul>
    ${hidden > 0 ? html`<p>${hidden} more are not shown.</p>` : ''}
  </section>`;
};
