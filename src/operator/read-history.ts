/**
 * Reads the history of a sheet. Nodes hold only its newest edits; older ones are read from the
 * store on request.
 */
import type { HistoryBody } from '../operator-protocol/table-body.js';
import type { PartnerId } from '../core/identifiers.js';
import { type EditRecord, NODE_HISTORY_LIMIT } from '../table/sheet.js';
import { completeHistory, historyOf } from '../table/spread-history.js';
import type { OperatorContext } from './operator-context.js';
import { findSheet, type SheetObject } from './read-table.js';

const createBody = (
  partner: PartnerId,
  version: number,
  history: readonly EditRecord[],
): HistoryBody => ({
  partner,
  version,
  history: history.map((record) => ({ ...record, rows: [...record.rows] })),
});

const readCompleteHistory = async (
  context: OperatorContext,
  partner: PartnerId,
  { object }: SheetObject,
): Promise<HistoryBody> => {
  const stored = (await context.fetchObject(object.name)).extract();
  if (stored === undefined) {
    const body = createBody(partner, object.version, historyOf(object.content));
    return { ...body, olderMissing: true };
  }
  return stored.version >= object.version
    ? createBody(partner, stored.version, historyOf(stored.content))
    : createBody(
        partner,
        object.version,
        historyOf(completeHistory(object.content, stored.content)),
      );
};

/**
 * Reads the edits of one partner's sheet, newest last; queries the store only if some are not held.
 */
export const readHistory = (
  context: OperatorContext,
  partner: PartnerId,
): Promise<HistoryBody> | HistoryBody => {
  const held = findSheet(context.state(), partner);
  const history = held?.sheet.history ?? [];
  return held === undefined || history.length < NODE_HISTORY_LIMIT
    ? createBody(partner, held?.object.version ?? 0, history)
    : readCompleteHistory(context, partner, held);
};
