/** Runs the gateway's reducer: takes events one at a time and carries out the effects of each. */
import type { GatewayEffect } from '../effect.js';
import type { GatewayEvent } from '../event.js';
import { step } from '../reducer.js';
import type { GatewayState } from '../state.js';

/** Takes events. */
export interface GatewayEventSink {
  emit(event: GatewayEvent): void;
}

/**
 * The loop over a gateway's events. An event emitted while another is handled waits for its turn, so
 * that the effects of one event are all carried out before the next event is taken.
 */
export class GatewayLoop implements GatewayEventSink {
  private queue: GatewayEvent[] = [];
  private running = false;
  private halted = false;

  constructor(
    private readonly state: GatewayState,
    private readonly carryOut: (effect: GatewayEffect) => void,
  ) {}

  emit(event: GatewayEvent): void {
    if (this.halted) {
      return;
    }
    this.queue.push(event);
    if (!this.running) {
      this.drain();
    }
  }

  /** Takes no further event. */
  halt(): void {
    this.halted = true;
    this.queue = [];
  }

  private drain(): void {
    this.running = true;
    try {
      for (let index = 0; index < this.queue.length; index += 1) {
        const event = this.queue[index];
        if (event !== undefined) {
          step(this.state, event).forEach(this.carryOut);
        }
      }
    } finally {
      this.queue = [];
      this.running = false;
    }
  }
}
