/** Finds a sheet in the table that a node told. */
import type { PartnerId } from '../../core/identifiers.js';
import type { SheetBody, TableBody } from '../../operator-protocol/table-body.js';
import { UsageError } from '../flags.js';

const emptySheet = (partner: PartnerId): SheetBody => ({
  partner,
  version: 0,
  revision: 0,
  rows: [],
});

/** The sheet of `partner`, or one's own; empty when one has none yet. */
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
