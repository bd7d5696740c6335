/** What happens in a simulation, as those who watch it are told: invariants, traces, reports. */
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
  /** The state after the step; only to be read. */
  readonly state: CoreState;
}

/** Watches a simulation; each method is called as the thing happens. */
export interface SimulationObserver {
  /** A node's core has taken an event. */
  stepped?(step: StepRecord): void;
  /** A caller has got its answer. */
  answered?(call: CallRecord): void;
  /** A caller was answered once more. */
  answeredAgain?(call: CallRecord): void;
  /** An operator was told what became of an edit. */
  editAnswered?(edit: EditCallRecord): void;
  /** An attempt has reached a replica, whether it runs or not. */
  attemptArrived?(arrival: ArrivalRecord): void;
  /** A replica has said that it leaves, by a refusal or with an answer. */
  announcedLeaving?(replica: string): void;
  /** A replica has begun to leave, or no longer leaves. */
  lifecycleChanged?(replica: string, isLeaving: boolean): void;
  /** A replica has begun to work on an attempt. */
  attemptStarted?(run: RunRecord): void;
  /** A process has ended after a planned stop, with so many attempts still open. */
  endedAsPlanned?(node: NodeId, openAttempts: number): void;
  /** The store has accepted a write. */
  objectWritten?(object: StoreObject): void;
}
