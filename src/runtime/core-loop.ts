/** Runs the core in an event loop. */
import type { Effect } from '../core/effect.js';
import type { Event } from '../core/event.js';
import { step } from '../core/reducer.js';
import type { CoreState } from '../core/state.js';
import { EventLoop, type EventReceiver } from './event-loop.js';

/** Receives events of the core. */
export type EventSink = EventReceiver<Event>;

/** Called with each event and its effects, after the step and before the effects are carried out. */
export type StepObserver = (event: Event, effects: readonly Effect[]) => void;

/** The event loop of the core. */
export class CoreLoop extends EventLoop<Event, Effect> {
  constructor(state: CoreState, carryOut: (effect: Effect) => void, observe?: StepObserver) {
    super((event) => {
      const effects = step(state, event);
      observe?.(event, effects);
      return effects;
    }, carryOut);
  }
}
