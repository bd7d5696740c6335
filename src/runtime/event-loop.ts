/** Runs a reducer: takes events one at a time and carries out the effects of each. */

/** Takes events. */
export interface EventReceiver<Event> {
  emit(event: Event): void;
}

/**
 * The loop over the events of a reducer. An event emitted while another is handled waits for its turn,
 * so that the effects of one event are all carried out before the next event is taken.
 */
export class EventLoop<Event, Effect> implements EventReceiver<Event> {
  private queue: Event[] = [];
  private running = false;
  private halted = false;

  /**
   * @param step - takes one event, updates the state and returns the effects in their order
   * @param carryOut - carries out one effect
   */
  constructor(
    private readonly step: (event: Event) => readonly Effect[],
    private readonly carryOut: (effect: Effect) => void,
  ) {}

  emit(event: Event): void {
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
          this.handleEvent(event);
        }
      }
    } finally {
      this.queue = [];
      this.running = false;
    }
  }

  private handleEvent(event: Event): void {
    for (const effect of this.step(event)) {
      this.carryOut(effect);
    }
  }
}
