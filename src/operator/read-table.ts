/** Converts the table in force in the core's state to the bodies of the operators' HTTP. */
import { identifier, type ObjectName, type PartnerId } from '../core/identifiers.js';
import type { CoreState } from '../core/state.js';
import type { StoreObject } from '../catalog/store-object.js';
import type { AgreementBody, SheetBody, TableBody } from '../operator-protocol/table-body.js';
import type { Sheet, SheetRow } from '../table/sheet.js';

const AGREEMENT_NAME = identifier<ObjectName>('agreement');

/** A sheet and the store object that contains it. */
export interface SheetObject {
  readonly object: StoreObject;
  readonly sheet: Sheet;
}

/** Finds one partner's sheet in this node's configuration. */
export const findSheet = (state: CoreState, partner: PartnerId): SheetObject | undefined => {
  const object = state.configuration.objects.get(identifier<ObjectName>(`sheet/${partner}`));
  return object?.content.type === 'sheet' ? { object, sheet: object.content.sheet } : undefined;
};

/** Lists the partners that have keys, a sheet or a share of the pool, in alphabetical order. */
export const listPartners = (state: CoreState): PartnerId[] => {
  const { objects, inForce } = state.configuration;
  const partners = new Set<PartnerId>(inForce.keys.keys());
  for (const { content } of objects.values()) {
    if (content.type === 'sheet') {
      partners.add(content.sheet.partner);
    }
  }
  inForce.agreement?.shares.forEach(({ partner }) => partners.add(partner));
  return [...partners].sort();
};

/** Reads one partner's sheet; empty at version 0 when there is none yet. */
export const readSheet = (state: CoreState, partner: PartnerId): SheetBody => {
  const held = findSheet(state, partner);
  return {
    partner,
    version: held?.object.version ?? 0,
    revision: held?.object.revision ?? 0,
    rows: [...(held?.sheet.rows ?? [])],
  };
};

/** Lists the rows of one partner's sheet, in the order of the store object. */
export const listSheetRows = (state: CoreState, partner: PartnerId): readonly SheetRow[] =>
  findSheet(state, partner)?.sheet.rows ?? [];

/** Reads the agreement; empty at version 0 when there is none yet. */
export const readAgreement = (state: CoreState): AgreementBody => {
  const object = state.configuration.objects.get(AGREEMENT_NAME);
  const { agreement } = state.configuration.inForce;
  return {
    version: object?.version ?? 0,
    revision: object?.revision ?? 0,
    shares: [...(agreement?.shares ?? [])],
    proposals: (agreement?.proposals ?? []).map((proposal) => ({
      ...proposal,
      shares: [...proposal.shares],
      approvedBy: [...proposal.approvedBy],
    })),
  };
};

/** Reads the whole table for an operator of `partner`. */
export const readTable = (state: CoreState, partner: PartnerId): TableBody => ({
  node: state.self.node,
  revision: state.configuration.revision,
  partner,
  sheets: listPartners(state).map((each) => readSheet(state, each)),
  agreement: readAgreement(state),
});
