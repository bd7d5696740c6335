/** The agreement page: the shares in force, the proposals and their approvals. */
import { html } from 'hono/html';
import type { PartnerId } from '../../core/identifiers.js';
import { REASON_LIMIT } from '../../operator-protocol/edit-body.js';
import type { AgreementBody } from '../../operator-protocol/table-body.js';
import type { PoolShare } from '../../table/agreement.js';
import type { Session } from '../session/sessions.js';
import { renderFindingsList } from './findings-list.js';
import type { FormFinding } from './form-edit.js';
import { formatShare, type Markup } from './markup.js';
import { renderFormToken } from './page-frame.js';

/** What the agreement page shows. */
export interface AgreementPage {
  readonly session: Session;
  readonly partners: readonly PartnerId[];
  readonly agreement: AgreementBody;
  /** Creates the edit id of a form, so that a form that is sent twice is one edit. */
  newEditId(): string;
  readonly findings: readonly FormFinding[];
}

type Proposal = AgreementBody['proposals'][number];

/** Name of the form field with a partner's share, in percent. */
export const shareFieldName = (partner: string): string => `share.${partner}`;

const renderShares = (shares: readonly PoolShare[]): Markup => html`
  <ul class="shares">
    ${shares.map(({ partner, share }) => html`<li><b>${partner}</b> ${formatShare(share)}</li>`)}
  </ul>
`;

const renderEditFields = (page: AgreementPage): Markup => html`
  ${renderFormToken(page.session)}
  <input type="hidden" name="edit" value="${page.newEditId()}" />
  <input type="hidden" name="seen-version" value="${page.agreement.version}" />
`;

const renderReason = (id: string): Markup => html`
  <label for="${id}">Reason</label>
  <input id="${id}" name="reason" required maxlength="${REASON_LIMIT}" autocomplete="off" />
`;

const renderApproval = (page: AgreementPage, proposal: Proposal, index: number): Markup =>
  proposal.approvedBy.includes(page.session.identity.partner)
    ? html`<p class="hint">
        Your organisation has approved this proposal; the approval of the other partner is pending.
      </p>`
    : html`<form method="post" action="/agreement/approvals">
        ${renderEditFields(page)}
        <input type="hidden" name="proposal" value="${proposal.proposal}" />
        <input type="hidden" name="shares" value="${JSON.stringify(proposal.shares)}" />
        ${renderReason(`approval-${String(index)}`)}
        <button class="main">Approve these shares</button>
      </form>`;

const renderProposal = (page: AgreementPage, proposal: Proposal, index: number): Markup => html`
  <section class="card">
    <h3>Proposal ${proposal.proposal} by ${proposal.proposedBy}</h3>
    ${renderShares(proposal.shares)}
    <p>Approved by ${proposal.approvedBy.join(', ')}.</p>
    ${renderApproval(page, proposal, index)}
  </section>
`;

const shareOf = (page: AgreementPage, partner: PartnerId): string => {
  const share = page.agreement.shares.find((each) => each.partner === partner)?.share ?? 0;
  return String(Math.round(share * 1e6) / 1e4);
};

const renderShareField = (page: AgreementPage, partner: PartnerId): Markup => html`
  <label for="share-${partner}">${partner} (%)</label>
  <input
    id="share-${partner}"
    name="${shareFieldName(partner)}"
    class="number"
    inputmode="decimal"
    required
    value="${shareOf(page, partner)}"
  />
`;

const renderNewProposal = (page: AgreementPage): Markup => html`
  <form method="post" action="/agreement/proposals" class="card">
    ${renderEditFields(page)}
    <p class="hint">
      A proposal replaces your organisation's earlier one. It comes into force when the other
      partner approves exactly these shares.
    </p>
    ${page.partners.map((partner) => renderShareField(page, partner))}
    ${renderReason('proposal-reason')}
    <button class="main">Propose</button>
  </form>
`;

/** Renders the agreement page. */
export const renderAgreementPage = (page: AgreementPage): Markup => html`
  ${renderFindingsList(page.findings)}
  <h2>In force</h2>
  ${
    page.agreement.shares.length === 0
      ? html`<p class="empty">There is no agreement yet.</p>`
      : renderShares(page.agreement.shares)
  }
  <h2>Proposals</h2>
  ${
    page.agreement.proposals.length === 0
      ? html`<p class="empty">There are no open proposals.</p>`
      : page.agreement.proposals.map((proposal, index) => renderProposal(page, proposal, index))
  }
  <h2>Propose other shares</h2>
  ${renderNewProposal(page)}
`;
