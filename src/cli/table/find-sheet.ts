/** Finds a sheet in the table from a node. */
import type { PartnerId } from '../../core/identifiers.js';
import type { SheetBody, TableBody } from '../../operator-protocol/table-body.js';
import { UsageError } from '../flags.js';

const emptySheet = (partner: PartnerId): SheetBody => ({
  partner,
  version: 0,
  revision: 0,
  rows: [],
});

/**
 * Finds the sheet of `partner`, by default the operator's; the latter is empty if there is none
 * yet.
 */
export const findSheet = (table: TableBody, partner: string | undefined): SheetBody => {
  const wanted = partner ?? table.partner;
  const sheet = table.sheets.find((each) => each.partner === wanted);
  if (sheet !== undefined) {
    return sheet;
  }
  if (wanted === table.partner) {
    return emptySheet(table.partner);
  }
  throw new UsageError(`there is no partner ${wanted}`);
};
