/** Faults that can be injected into the platform's store. */

/** Behaviour of the store; may be changed while it runs. */
export interface StoreFaults {
  /** Connections are closed without an answer, and watches end. */
  readonly down: boolean;
  /** Delay of each answer, in milliseconds. */
  readonly delayMs: number;
  /** Share of accepted writes whose answer is lost after the write took effect, 0 to 1. */
  readonly loseAnswerShare: number;
  /** Delay until changes of the machine list are visible, in milliseconds. */
  readonly machineListLagMs: number;
}

/** A change of some of the faults. */
export interface StoreFaultChange extends Partial<StoreFaults> {
  /** The store loses all writes after this revision once, when the change is made. */
  readonly rollBackTo?: number;
}

/** Behaviour of a store without faults. */
export const HEALTHY_STORE: StoreFaults = {
  down: false,
  delayMs: 0,
  loseAnswerShare: 0,
  machineListLagMs: 0,
};
