/** Passes operators' edits to the core and returns their outcomes. */
import type { AnswerOperator } from '../../core/effect.js';
import { type CallId, identifier } from '../../core/identifiers.js';
import type { EditOutcome, EditRequest } from '../../table/edit.js';
import type { EventSink } from '../core-loop.js';
import type { MonotonicClock } from '../monotonic-clock.js';

/** Maximum number of pending edits. */
const MAX_PENDING_EDITS = 256;

/** Holds the pending edits. */
export class OperatorEdits {
  private readonly pendingEdits = new Map<CallId, (outcome: EditOutcome) => void>();
  private submittedEdits = 0;

  constructor(
    private readonly clock: MonotonicClock,
    private readonly sink: EventSink,
  ) {}

  /** Submits an edit to the core; resolves with its final outcome. */
  submit(edit: EditRequest): Promise<EditOutcome> {
    if (this.pendingEdits.size >= MAX_PENDING_EDITS) {
      return Promise.resolve({
        type: 'refused',
        edit: edit.edit,
        findings: [
          {
            severity: 'error',
            place: 'edit',
            problem: 'too many edits wait; try again later',
          },
        ],
      });
    }
    this.submittedEdits += 1;
    const call = identifier<CallId>(`edit-${this.submittedEdits}`);
    return new Promise((resolve) => {
      this.pendingEdits.set(call, resolve);
      this.sink.emit({ type: 'edit-requested', at: this.clock.now(), call, edit });
    });
  }

  /** Carries out `answer-operator`. */
  answer(effect: AnswerOperator): void {
    const resolve = this.pendingEdits.get(effect.call);
    this.pendingEdits.delete(effect.call);
    resolve?.(effect.outcome);
  }
}
