/** State of the editing slice: the edits that this node is applying to the store. */
import type { StoreObject } from '../../catalog/store-object.js';
import type { EditRequest } from '../../table/edit.js';
import type { Finding } from '../../table/finding.js';
import type { CallId, ObjectName, StoreRequestId } from '../identifiers.js';

/** The stage of an edit in progress. */
export type EditStage = 'queued' | 'reading' | 'writing' | 'backing-off';

/** An edit without an outcome. */
export interface EditInProgress {
  /** `partner/edit`. */
  readonly key: string;
  readonly edit: EditRequest;
  readonly digest: number;
  readonly objectName: ObjectName;
  /** Calls that wait for the outcome. */
  readonly calls: CallId[];
  stage: EditStage;
  /** The store request in progress. */
  request?: StoreRequestId;
  /** A read of the object sent while a write is in progress. */
  readBack?: StoreRequestId;
  /** Number of read-backs of the write in progress. */
  readBacks: number;
  /** The object in force at this node when the read in progress was sent. */
  heldAtRead?: StoreObject;
  /** The version that the write in progress expects. */
  expectedVersion: number;
  /** The version expected by an earlier write that was not answered; absent when there is none. */
  unresolvedVersion?: number;
  /** Consecutive store failures. */
  failures: number;
  /** Consecutive refused compare-and-sets. */
  contentions: number;
  /** Why there is no outcome yet, as a short sentence. */
  problem: string;
  /** Warnings about the content of the write in progress. */
  findings: readonly Finding[];
}

/** State of the editing slice. */
export interface EditingState {
  /** Number of store requests since the start, used to number the next one. */
  requests: number;
  /** By `partner/edit`. */
  readonly inProgress: Map<string, EditInProgress>;
  /** For each object, its edits in order of arrival; the first one is being processed. */
  readonly queues: Map<ObjectName, EditInProgress[]>;
  readonly byRequest: Map<StoreRequestId, EditInProgress>;
}

/** Creates the state of a node without edits in progress. */
export const createEditingState = (): EditingState => ({
  requests: 0,
  inProgress: new Map(),
  queues: new Map(),
  byRequest: new Map(),
});
