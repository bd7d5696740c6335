/** Violations that the invariant checks report. */
import type { PromiseName } from '../../protocol/promise-name.js';

/** A violation of an invariant. */
export interface Violation {
  readonly invariant: PromiseName;
  /** Virtual time, in milliseconds. */
  readonly at: number;
  /** Description of the violation, as a short sentence. */
  readonly detail: string;
}

/** Records a violation. */
export type ReportViolation = (invariant: PromiseName, detail: string) => void;
