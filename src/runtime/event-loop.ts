/** Runs a reducer: handles one event at a time and carries out its effects. */

/** Receives events. */
export interface EventReceiver<Event> {
  emit(event: Event): void;
}

/**
 * The event loop of a reducer. An event that is emitted while another is handled is queued, so that all
 * effects of an event are carried out before the next event is handled.
 */
export class EventLoop<Event, Effect> implements EventReceiver<Event> {
  private queue: Event[] = [];
  private running = false;
  private halted = false;

  /**
   * @param step - handles an event: updates the state and returns the effects in order
   * @param carryOut - carries out an effect
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

  /** Discards queued events and ignores further ones. */
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
