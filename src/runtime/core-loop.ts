/** Runs the core over its loop of events. */
import type { Effect } from '../core/effect.js';
import type { Event } from '../core/event.js';
import { step } from '../core/reducer.js';
import type { CoreState } from '../core/state.js';
import { EventLoop, type EventReceiver } from './event-loop.js';

/** Takes events of the core. */
export type EventSink = EventReceiver<Event>;

/** Sees each event with its effects, after the step and before they are carried out. */
export type StepObserver = (event: Event, effects: readonly Effect[]) => void;

/** The loop over the core's events. */
export class CoreLoop extends EventLoop<Event, Effect> {
  constructor(state: CoreState, carryOut: (effect: Effect) => void, observe?: StepObserver) {
    super((event) => {
      const effects = step(state, event);
      observe?.(event, effects);
      return effects;
    }, carryOut);
  }
}
