/** The decision on an edit, made once the object that it changes has been read. */
import type { StoreContent, StoreObject } from '../../catalog/store-object.js';
import type { BackendService } from '../../table/backend-service.js';
import type { EditConflict, EditRequest } from '../../table/edit.js';
import type { Finding } from '../../table/finding.js';
import type { EditRecord } from '../../table/sheet.js';
import type { PartnerId } from '../identifiers.js';

/** The decision on an edit. */
export type EditDecision =
  /** Write `content` if the object still has the version read. */
  | {
      readonly type: 'write';
      readonly content: StoreContent;
      readonly findings: readonly Finding[];
    }
  /** The edit has been applied already, as recorded in `record`. */
  | { readonly type: 'applied'; readonly record: EditRecord }
  | { readonly type: 'refused'; readonly findings: readonly Finding[] }
  | { readonly type: 'conflict'; readonly conflicts: readonly EditConflict[] }
  | { readonly type: 'expired'; readonly problem: string };

/** The inputs of a decision besides the edit itself. */
export interface EditContext {
  /** The object read from the store; undefined when it does not exist. */
  readonly object: StoreObject | undefined;
  /** The partner's services, used for warnings; undefined while the platform publishes none. */
  readonly services: readonly BackendService[] | undefined;
  /** All partners that have a sheet or keys. */
  readonly partners: readonly PartnerId[];
}

/** The action of an edit whose type is `Type`. */
export type ActionOf<Type extends EditRequest['action']['type']> = Extract<
  EditRequest['action'],
  { readonly type: Type }
>;

/** Creates a refusal with one finding. */
export const refuseWith = (place: string, problem: string, allowed?: string): EditDecision => ({
  type: 'refused',
  findings: [
    allowed === undefined
      ? { severity: 'error', place, problem }
      : { severity: 'error', place, problem, allowed },
  ],
});
