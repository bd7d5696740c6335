/**
 * Submits edits of authenticated operators to the core, for the JSON endpoints and the web page.
 */
import type { EditBody } from '../operator-protocol/edit-body.js';
import type { EditOutcome, RowChange } from '../table/edit.js';
import type { Finding } from '../table/finding.js';
import { rowKey, rowPlace } from '../table/row-key.js';
import type { OperatorContext } from './operator-context.js';
import type { OperatorIdentity } from './operator-identity.js';

/** Most edits in progress at one node. */
export const EDITS_IN_PROGRESS_LIMIT = 64;

/** The result of submitting an edit at this node. */
export type Submission =
  | { readonly type: 'outcome'; readonly outcome: EditOutcome }
  /** The edit contains rows of another partner and was not applied. */
  | { readonly type: 'not-own'; readonly findings: readonly Finding[] }
  /** Too many edits are in progress at this node; the edit was not applied. */
  | { readonly type: 'busy' };

/** Submits an edit of an authenticated operator. */
export type SubmitEdit = (identity: OperatorIdentity, body: EditBody) => Promise<Submission>;

const checkRowOwner = (identity: OperatorIdentity, change: RowChange): Finding[] =>
  change.type === 'remove' || change.row.partner === identity.partner
    ? []
    : [
        {
          severity: 'error',
          place: rowPlace(`sheet/${change.row.partner}`, rowKey(change.row), 'partner'),
          problem: 'is the row of another partner',
          allowed: identity.partner,
        },
      ];

const findForeignRows = (identity: OperatorIdentity, body: EditBody): Finding[] =>
  body.action.type === 'change-rows'
    ? body.action.changes.flatMap((change) => checkRowOwner(identity, change))
    : [];

/** Creates the function that submits edits. */
export const createSubmitEdit = (context: OperatorContext): SubmitEdit => {
  let inProgress = 0;
  return async (identity, body) => {
    const findings = findForeignRows(identity, body);
    if (findings.length > 0) {
      return { type: 'not-own', findings };
    }
    if (inProgress >= EDITS_IN_PROGRESS_LIMIT) {
      return { type: 'busy' };
    }
    inProgress += 1;
    try {
      const edit = { ...body, ...identity, writtenAt: context.now() };
      return { type: 'outcome', outcome: await context.submitEdit(edit) };
    } finally {
      inProgress -= 1;
    }
  };
};
