/** Runs the gateway's reducer over its loop of events. */
import { EventLoop, type EventReceiver } from '../../runtime/event-loop.js';
import type { GatewayEffect } from '../effect.js';
import type { GatewayEvent } from '../event.js';
import { step } from '../reducer.js';
import type { GatewayState } from '../state.js';

/** Takes events of a gateway. */
export type GatewayEventSink = EventReceiver<GatewayEvent>;

/** The loop over a gateway's events. */
export class GatewayLoop extends EventLoop<GatewayEvent, GatewayEffect> {
  constructor(state: GatewayState, carryOut: (effect: GatewayEffect) => void) {
    super((event) => step(state, event), carryOut);
  }
}
