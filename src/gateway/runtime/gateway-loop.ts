/** Runs the gateway's reducer in an event loop. */
import { EventLoop, type EventReceiver } from '../../runtime/event-loop.js';
import type { GatewayEffect } from '../effect.js';
import type { GatewayEvent } from '../event.js';
import { step } from '../reducer.js';
import type { GatewayState } from '../state.js';

/** Receives events of a gateway. */
export type GatewayEventSink = EventReceiver<GatewayEvent>;

/** The event loop of a gateway. */
export class GatewayLoop extends EventLoop<GatewayEvent, GatewayEffect> {
  constructor(state: GatewayState, executeEffect: (effect: GatewayEffect) => void) {
    super((event) => step(state, event), executeEffect);
  }
}
