/** Decides an edit against the object read from the store. */
import { match } from 'ts-pattern';
import type { EditRequest } from '../../table/edit.js';
import { historyOf } from '../../table/spread-history.js';
import { identifier, type ObjectName } from '../identifiers.js';
import { decideApproval, decideProposal } from './decide-agreement-edit.js';
import { decideKeysEdit } from './decide-keys-edit.js';
import { decideSheetEdit } from './decide-sheet-edit.js';
import { refuseWith, type EditContext, type EditDecision } from './edit-decision.js';
import { digestEdit, findRecord, mayBeTruncated } from './edit-history.js';

/**
 * Returns the name of the object an edit changes, derived from its partner, never chosen freely.
 */
export const objectOfEdit = (edit: EditRequest): ObjectName =>
  match(edit.action.type)
    .with('change-rows', () => identifier<ObjectName>(`sheet/${edit.partner}`))
    .with('replace-keys', () => identifier<ObjectName>(`keys/${edit.partner}`))
    .with('propose-agreement', () => identifier<ObjectName>('agreement'))
    .with('approve-agreement', () => identifier<ObjectName>('agreement'))
    .exhaustive();

const decideAction = (edit: EditRequest, context: EditContext): EditDecision => {
  const { partner } = edit;
  const content = context.object?.content;
  const sheet =
    content?.type === 'sheet' ? content.sheet : { partner, rows: [], history: [] as const };
  const keys = content?.type === 'keys' ? content.keys : { partner, keys: [] };
  const agreement = content?.type === 'agreement' ? content.agreement : { shares: [] };
  return match(edit.action)
    .with({ type: 'change-rows' }, (action) => decideSheetEdit(edit, action, sheet, context))
    .with({ type: 'replace-keys' }, (action) => decideKeysEdit(edit, action, keys, context))
    .with({ type: 'propose-agreement' }, (action) =>
      decideProposal(edit, action, agreement, context),
    )
    .with({ type: 'approve-agreement' }, (action) =>
      decideApproval(edit, action, agreement, context),
    )
    .exhaustive();
};

const CONTENT_TYPE = {
  'change-rows': 'sheet',
  'replace-keys': 'keys',
  'propose-agreement': 'agreement',
  'approve-agreement': 'agreement',
} as const;

/** Decides `edit`; checks first whether it has been applied already. */
export const decideEdit = (edit: EditRequest, context: EditContext): EditDecision => {
  const place = objectOfEdit(edit);
  const { object } = context;
  if (object !== undefined && object.content.type !== CONTENT_TYPE[edit.action.type]) {
    return refuseWith(place, `holds an object of type ${object.content.type}`);
  }
  const history = historyOf(object?.content);
  const record = findRecord(history, edit.edit);
  if (record !== undefined) {
    return record.digest === digestEdit(edit)
      ? { type: 'applied', record }
      : refuseWith(`edit ${edit.edit}`, 'its id belongs to another edit', 'a new id');
  }
  const version = object?.version ?? 0;
  if (edit.seenVersion > version) {
    const problem = `stands at version ${version}, before version ${edit.seenVersion} that the edit saw`;
    return refuseWith(place, problem);
  }
  if (mayBeTruncated(history, edit.seenVersion)) {
    const oldest = history[0]?.sheetVersion ?? 0;
    const problem = `the edit saw version ${edit.seenVersion} of ${place}, and the history begins at version ${oldest}`;
    return { type: 'expired', problem };
  }
  return decideAction(edit, context);
};
