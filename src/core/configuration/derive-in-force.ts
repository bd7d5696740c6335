/**
 * Derives the tables in force from the store objects, either all at once or for one changed object.
 */
import { match } from 'ts-pattern';
import type { KeeperRoster } from '../../catalog/keeper-roster.js';
import type { PartnerLayout, ServiceStatus } from '../../catalog/partner-index.js';
import type { StoreObject } from '../../catalog/store-object.js';
import type { Agreement } from '../../table/agreement.js';
import type { PartnerKeys } from '../../table/partner-keys.js';
import type { RouteRow } from '../../table/route-row.js';
import { orderRows, visitChangedRows } from '../../table/row-order.js';
import type { Sheet } from '../../table/sheet.js';
import type { PartnerId, ServiceName } from '../identifiers.js';
import { routeRowKey, type ConfigurationInForce } from './state.js';

const addRows = (rows: Map<string, RouteRow>, sheet: Sheet): void => {
  for (const { row } of sheet.rows) {
    rows.set(routeRowKey(sheet.partner, row.route, row.kind), row);
  }
};

const addService = (
  services: Map<PartnerId, Map<ServiceName, ServiceStatus>>,
  status: ServiceStatus,
): void => {
  const ofPartner = services.get(status.partner) ?? new Map<ServiceName, ServiceStatus>();
  ofPartner.set(status.service, status);
  services.set(status.partner, ofPartner);
};

/** Builds the tables in force from `objects` in one pass. */
export const deriveInForce = (objects: Iterable<StoreObject>): ConfigurationInForce => {
  const rows = new Map<string, RouteRow>();
  const layouts = new Map<PartnerId, PartnerLayout>();
  const services = new Map<PartnerId, Map<ServiceName, ServiceStatus>>();
  const keys = new Map<PartnerId, PartnerKeys>();
  const rosters = new Map<number, KeeperRoster>();
  let agreement: Agreement | undefined;
  for (const { content } of objects) {
    match(content)
      .with({ type: 'sheet' }, ({ sheet }) => addRows(rows, sheet))
      .with({ type: 'layout' }, ({ layout }) => layouts.set(layout.partner, layout))
      .with({ type: 'status' }, ({ status }) => addService(services, status))
      .with({ type: 'keys' }, (content) => keys.set(content.keys.partner, content.keys))
      .with({ type: 'keepers' }, ({ roster }) => rosters.set(roster.period, roster))
      .with({ type: 'agreement' }, (content) => {
        agreement = content.agreement;
      })
      .exhaustive();
  }
  return { rows, layouts, services, keys, agreement, rosters };
};

const updateRows = (
  before: ConfigurationInForce,
  held: StoreObject | undefined,
  sheet: Sheet,
): ConfigurationInForce => {
  const rows = new Map(before.rows);
  const oldRows = held?.content.type === 'sheet' ? held.content.sheet.rows : [];
  visitChangedRows(orderRows(oldRows), orderRows(sheet.rows), (old, current) => {
    if (current !== undefined) {
      rows.set(routeRowKey(sheet.partner, current.row.route, current.row.kind), current.row);
    } else if (old !== undefined) {
      rows.delete(routeRowKey(sheet.partner, old.row.route, old.row.kind));
    }
  });
  return { ...before, rows };
};

const updateService = (
  before: ConfigurationInForce,
  status: ServiceStatus,
): ConfigurationInForce => {
  const ofPartner = new Map(before.services.get(status.partner));
  ofPartner.set(status.service, status);
  return { ...before, services: new Map(before.services).set(status.partner, ofPartner) };
};

const updateRosters = (
  before: ConfigurationInForce,
  held: StoreObject | undefined,
  roster: KeeperRoster,
): ConfigurationInForce => {
  const rosters = new Map(before.rosters);
  if (held?.content.type === 'keepers') {
    rosters.delete(held.content.roster.period);
  }
  return { ...before, rosters: rosters.set(roster.period, roster) };
};

/**
 * Updates the tables for one object that replaces `held`. Copies only the table that the object
 * belongs to and shares the others, so that the cost of a change does not depend on their size.
 */
export const updateInForce = (
  before: ConfigurationInForce,
  held: StoreObject | undefined,
  { content }: StoreObject,
): ConfigurationInForce => {
  switch (content.type) {
    case 'sheet':
      return updateRows(before, held, content.sheet);
    case 'status':
      return updateService(before, content.status);
    case 'keepers':
      return updateRosters(before, held, content.roster);
    case 'layout':
      return {
        ...before,
        layouts: new Map(before.layouts).set(content.layout.partner, content.layout),
      };
    case 'keys':
      return { ...before, keys: new Map(before.keys).set(content.keys.partner, content.keys) };
    case 'agreement':
      return { ...before, agreement: content.agreement };
  }
};
