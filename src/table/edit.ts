/** Edits of the table that operators send, and their outcomes. */
import type { EditId, PartnerId, RequestKind, RouteName } from '../core/identifiers.js';
import type { PoolShare } from './agreement.js';
import type { Finding } from './finding.js';
import type { KeyRecord } from './partner-keys.js';
import type { RouteRow } from './route-row.js';
import type { SheetRow } from './sheet.js';

/** A change of one row. */
export type RowChange =
  | {
      readonly type: 'set';
      readonly row: RouteRow;
      /** The row version on which this change is based; 0 for a new row. */
      readonly basedOn: number;
    }
  | {
      readonly type: 'remove';
      readonly route: RouteName;
      readonly kind: RequestKind;
      readonly basedOn: number;
    };

/** The action of an edit. */
export type EditAction =
  | { readonly type: 'change-rows'; readonly changes: readonly RowChange[] }
  | { readonly type: 'replace-keys'; readonly keys: readonly KeyRecord[]; readonly basedOn: number }
  | {
      readonly type: 'propose-agreement';
      readonly proposal: string;
      readonly shares: readonly PoolShare[];
    }
  | {
      readonly type: 'approve-agreement';
      readonly proposal: string;
      /** The shares that the operator approves; refused if the proposal of this name has other shares. */
      readonly shares: readonly PoolShare[];
    };

/** An edit, authenticated as an operator of `partner`. */
export interface EditRequest {
  readonly edit: EditId;
  readonly partner: PartnerId;
  readonly operator: string;
  readonly reason: string;
  /**
   * Version of the object that the operator had read before the edit; 0 if it did not exist. The
   * edit is not applied if this version precedes the oldest edit in the object's history.
   */
  readonly seenVersion: number;
  /** Milliseconds since 1970, by the clock of the node that received the edit. */
  readonly writtenAt: number;
  readonly action: EditAction;
}

/** A change that was refused because its row has changed since the version it is based on. */
export interface EditConflict {
  /** `route/kind`. */
  readonly row: string;
  /** The row as it is now; absent if it has been removed. */
  readonly current?: SheetRow;
  readonly wanted: RowChange;
  /** Operator who sent the refused edit. */
  readonly wantedBy: string;
}

/** The final outcome of an edit. */
export type EditOutcome =
  | {
      readonly type: 'accepted';
      readonly edit: EditId;
      /** Version of the written object. */
      readonly version: number;
      /** Store revision of the write; the edit is in force at each node that holds this revision. */
      readonly revision: number;
      readonly findings: readonly Finding[];
    }
  | { readonly type: 'refused'; readonly edit: EditId; readonly findings: readonly Finding[] }
  | {
      readonly type: 'conflict';
      readonly edit: EditId;
      readonly conflicts: readonly EditConflict[];
    }
  /**
   * The edit precedes the oldest edit in the object's history and was not applied now. Whether it was
   * applied earlier is no longer recorded in the history; only the rows themselves show it.
   */
  | { readonly type: 'expired'; readonly edit: EditId; readonly problem: string }
  /** The store did not answer in time; sending the same edit again returns its outcome. */
  | { readonly type: 'unknown'; readonly edit: EditId; readonly problem: string };
