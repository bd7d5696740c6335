/** Observer interface of a simulation, used by invariant checks, traces and reports. */
import type { StoreObject } from '../catalog/store-object.js';
import type { Effect } from '../core/effect.js';
import type { Event } from '../core/event.js';
import type { NodeId } from '../core/identifiers.js';
import type { CoreState } from '../core/state.js';
import type { CallRecord, EditCallRecord } from './call-record.js';
import type { ArrivalRecord, RunRecord } from './replica-record.js';

/** One step of one node's core. */
export interface StepRecord {
  readonly at: number;
  readonly node: NodeId;
  readonly event: Event;
  readonly effects: readonly Effect[];
  /** The state after the step; observers must not modify it. */
  readonly state: CoreState;
}

/** Observes a simulation; each method is called at the virtual time of its event. */
export interface SimulationObserver {
  /** A node's core has handled an event. */
  stepped?(step: StepRecord): void;
  /** A caller has received its answer. */
  answered?(call: CallRecord): void;
  /** A caller was sent a further answer to a call that was already answered. */
  answeredAgain?(call: CallRecord): void;
  /** An operator has received the outcome of an edit. */
  editAnswered?(edit: EditCallRecord): void;
  /** An attempt has reached a replica; the replica may run or refuse it. */
  attemptArrived?(arrival: ArrivalRecord): void;
  /** A replica has announced in a refusal or an answer that it is leaving. */
  announcedLeaving?(replica: string): void;
  /** The lifecycle of a replica has changed to or from `leaving`. */
  lifecycleChanged?(replica: string, isLeaving: boolean): void;
  /** A replica has started to run an attempt. */
  attemptStarted?(run: RunRecord): void;
  /** A process has ended after a planned stop, with `openAttempts` attempts still open. */
  endedAsPlanned?(node: NodeId, openAttempts: number): void;
  /** The store has accepted a write. */
  objectWritten?(object: StoreObject): void;
}
