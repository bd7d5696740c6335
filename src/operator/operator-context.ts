/** The interface between the operator port and its node. */
import type { Maybe } from 'purify-ts';
import type { StoreObject } from '../catalog/store-object.js';
import type { ObjectName } from '../core/identifiers.js';
import type { CoreState } from '../core/state.js';
import type { NodeMetrics } from '../metrics/node-metrics.js';
import type { EditOutcome, EditRequest } from '../table/edit.js';

/** Writes log lines of the operator port. */
export interface OperatorLog {
  info(sentence: string): void;
  warn(sentence: string): void;
}

/** The dependencies of the operator port. */
export interface OperatorContext {
  /** The core's state, read-only. */
  state(): CoreState;
  /** Submits an authenticated edit to the core. Resolves with its outcome and never rejects. */
  submitEdit(edit: EditRequest): Promise<EditOutcome>;
  /**
   * Reads an object from the platform's store; Nothing when it does not exist or the store fails.
   */
  fetchObject(name: ObjectName): Promise<Maybe<StoreObject>>;
  /** Wall-clock time, in milliseconds since 1970. */
  now(): number;
  /** Monotonic time on the clock of the core's events, in milliseconds. */
  monotonicNow(): number;
  /**
   * Key that signs the sessions of the web page. It is the same on all nodes, so that a session
   * outlives the node that opened it, and is never shown.
   */
  readonly sessionSecret: string;
  readonly metrics: NodeMetrics;
  readonly log: OperatorLog;
}
