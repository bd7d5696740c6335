/**
 * Decides proposals and approvals of the agreement. A proposal comes into force only when every
 * partner concerned has approved this proposal, identified by its name and its shares.
 */
import type { Agreement, AgreementProposal, PoolShare } from '../../table/agreement.js';
import type { EditRequest } from '../../table/edit.js';
import type { Finding } from '../../table/finding.js';
import type { EditRecord } from '../../table/sheet.js';
import type { PartnerId } from '../identifiers.js';
import { refuseWith, type ActionOf, type EditContext, type EditDecision } from './edit-decision.js';
import { appendRecord } from './edit-history.js';

const PLACE = 'agreement';
/** Maximum deviation of the sum of shares from 1, to allow shares such as one third. */
const SUM_TOLERANCE = 1e-9;
/** Minimum number of partners of an agreement. */
const MIN_PARTNERS = 2;

const errorAt = (place: string, problem: string): Finding => ({
  severity: 'error',
  place,
  problem,
});

const findShareErrors = (
  shares: readonly PoolShare[],
  partners: readonly PartnerId[],
): Finding[] => {
  const findings: Finding[] = [];
  const named = new Set<PartnerId>();
  for (const { partner, share } of shares) {
    const place = `${PLACE} share of ${partner}`;
    if (named.has(partner)) {
      findings.push(errorAt(place, 'stands twice'));
    }
    if (!(share >= 0 && share <= 1)) {
      findings.push(errorAt(place, `${share} is not from 0 to 1`));
    }
    named.add(partner);
  }
  for (const partner of partners.filter((each) => !named.has(each))) {
    findings.push(errorAt(`${PLACE} share of ${partner}`, 'is missing'));
  }
  if (named.size < MIN_PARTNERS) {
    findings.push(errorAt(PLACE, 'needs the shares of two partners or more'));
  }
  const sum = shares.reduce((total, { share }) => total + share, 0);
  if (!(Math.abs(sum - 1) <= SUM_TOLERANCE)) {
    findings.push(errorAt(PLACE, `the shares sum to ${sum}, not to 1`));
  }
  return findings;
};

/** Decides one action on the current agreement. */
type DecideAction<Action> = (
  edit: EditRequest,
  action: Action,
  agreement: Agreement,
  context: EditContext,
) => EditDecision;

/**
 * Refuses an edit unless the agreement still has the version that the operator saw, so that nobody
 * approves something unseen. This is acceptable because the agreement is small and rarely changed.
 */
const requireSeenVersion =
  <Action>(decide: DecideAction<Action>): DecideAction<Action> =>
  (edit, action, agreement, context) => {
    const version = context.object?.version ?? 0;
    return edit.seenVersion === version
      ? decide(edit, action, agreement, context)
      : refuseWith(PLACE, `was changed since version ${edit.seenVersion}`, `version ${version}`);
  };

const hasEqualShares = (left: readonly PoolShare[], right: readonly PoolShare[]): boolean => {
  const shares = new Map(left.map(({ partner, share }) => [partner, share]));
  return (
    left.length === right.length &&
    right.every(({ partner, share }) => shares.get(partner) === share)
  );
};

/** Lists the partners whose approval a proposal needs: those it names and all existing ones. */
const listApprovers = (
  proposal: AgreementProposal,
  agreement: Agreement,
  context: EditContext,
): ReadonlySet<PartnerId> =>
  new Set([
    ...context.partners,
    ...agreement.shares.map(({ partner }) => partner),
    ...proposal.shares.map(({ partner }) => partner),
  ]);

const writeAgreement = (
  agreement: Agreement,
  proposal: AgreementProposal,
  history: readonly EditRecord[],
  context: EditContext,
): EditDecision => {
  const approvers = listApprovers(proposal, agreement, context);
  const inForce = [...approvers].every((partner) => proposal.approvedBy.includes(partner));
  const others = (agreement.proposals ?? []).filter(
    (each) => each.proposedBy !== proposal.proposedBy,
  );
  const changed: Agreement = inForce
    ? { shares: proposal.shares, proposals: [], history }
    : { shares: agreement.shares, proposals: [...others, proposal], history };
  return { type: 'write', content: { type: 'agreement', agreement: changed }, findings: [] };
};

const record = (agreement: Agreement, edit: EditRequest, name: string, context: EditContext) =>
  appendRecord(agreement.history ?? [], edit, [name], (context.object?.version ?? 0) + 1);

const findProposalErrors = (
  edit: EditRequest,
  action: ActionOf<'propose-agreement'>,
  agreement: Agreement,
  context: EditContext,
): Finding[] => {
  const known = [...context.partners, ...agreement.shares.map(({ partner }) => partner)];
  const findings = findShareErrors(action.shares, [...new Set(known)]);
  if (!action.shares.some(({ partner }) => partner === edit.partner)) {
    findings.push(errorAt(`${PLACE} share of ${edit.partner}`, 'is missing'));
  }
  if ((agreement.proposals ?? []).some(({ proposal }) => proposal === action.proposal)) {
    findings.push(errorAt(`${PLACE} proposal ${action.proposal}`, 'stands already'));
  }
  return findings;
};

const propose: DecideAction<ActionOf<'propose-agreement'>> = (edit, action, agreement, context) => {
  const findings = findProposalErrors(edit, action, agreement, context);
  if (findings.length > 0) {
    return { type: 'refused', findings };
  }
  const proposal: AgreementProposal = {
    proposal: action.proposal,
    proposedBy: edit.partner,
    shares: action.shares,
    approvedBy: [edit.partner],
  };
  const history = record(agreement, edit, action.proposal, context);
  return writeAgreement(agreement, proposal, history, context);
};

/** Decides a proposal, which replaces an earlier one of the same partner. */
export const decideProposal = requireSeenVersion(propose);

const approve: DecideAction<ActionOf<'approve-agreement'>> = (edit, action, agreement, context) => {
  const place = `${PLACE} proposal ${action.proposal}`;
  const found = agreement.proposals?.find(({ proposal }) => proposal === action.proposal);
  if (found === undefined) {
    return refuseWith(place, 'does not stand, or no longer');
  }
  if (!hasEqualShares(found.shares, action.shares)) {
    return refuseWith(place, 'has other shares than those approved');
  }
  if (!listApprovers(found, agreement, context).has(edit.partner)) {
    return refuseWith(place, `does not concern ${edit.partner}`);
  }
  const approvedBy = [...new Set([...found.approvedBy, edit.partner])];
  const history = record(agreement, edit, action.proposal, context);
  return writeAgreement(agreement, { ...found, approvedBy }, history, context);
};

/** Decides an approval, which contains the shares that the operator saw. */
export const decideApproval = requireSeenVersion(approve);
