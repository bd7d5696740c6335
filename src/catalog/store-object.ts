/** Objects of the platform's store. */
import type { ObjectName } from '../core/identifiers.js';
import type { Agreement } from '../table/agreement.js';
import type { PartnerKeys } from '../table/partner-keys.js';
import type { Sheet } from '../table/sheet.js';
import type { KeeperRoster } from './keeper-roster.js';
import type { PartnerLayout, ServiceStatus } from './partner-index.js';

/** The content of a store object, discriminated by `type`. */
export type StoreContent =
  | { readonly type: 'sheet'; readonly sheet: Sheet }
  | { readonly type: 'agreement'; readonly agreement: Agreement }
  | { readonly type: 'keys'; readonly keys: PartnerKeys }
  | { readonly type: 'layout'; readonly layout: PartnerLayout }
  | { readonly type: 'status'; readonly status: ServiceStatus }
  | { readonly type: 'keepers'; readonly roster: KeeperRoster };

/** One object of the store. */
export interface StoreObject {
  /** `sheet/{partner}`, `agreement`, `keys/{partner}`, `layout/{partner}`, `status/{partner}/{service}`, `keepers/{slot}`. */
  readonly name: ObjectName;
  /** Increases by one with each write of this object; compare-and-set writes refer to it. */
  readonly version: number;
  /** The store's revision of the last write to this object; increases with each write to any object. */
  readonly revision: number;
  readonly content: StoreContent;
}

/** A machine on the platform's list, which may lag behind both starts and stops. */
export interface Machine {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly state: 'live' | 'leaving';
}
