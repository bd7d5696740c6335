/** Traps: faults that occur at a chosen event, such as a crash directly after an accepted edit. */
import type { Effect } from '../../core/effect.js';
import type { Event } from '../../core/event.js';
import type { SimulationObserver, StepRecord } from '../observer.js';
import type { Action, MomentName } from './action.js';

/** A trap of a history. */
export type Trap = Extract<Action, { type: 'trap' }>;

/** Applies the fault of a trap; `node` is the node where the event occurred. */
export type TriggerTrap = (trap: Trap, node: string) => void;

/** Maximum number of armed traps; further traps are ignored. */
const ARMED_LIMIT = 8;

const isAccepted = (effect: Effect): boolean =>
  effect.type === 'answer-operator' && effect.outcome.type === 'accepted';

const isGrantedClaim = (event: Event): boolean =>
  event.type === 'link-message-arrived' &&
  event.message.type === 'claim-reply' &&
  event.message.verdict === 'granted';

const matchesMoment = (moment: MomentName, { event, effects }: StepRecord): boolean => {
  switch (moment) {
    case 'query-arrived':
    case 'stop-requested':
      return event.type === moment;
    case 'answer-arrived':
      return event.type === 'attempts-ended';
    case 'write-answered':
      return event.type === 'object-written';
    case 'news-arrived':
      return event.type === 'store-changed';
    case 'claim-granted':
      return isGrantedClaim(event);
    case 'attempt-sent':
      return effects.some(({ type }) => type === 'send-attempt');
    case 'edit-accepted':
      return effects.some(isAccepted);
  }
};

/** Watches for the events of the armed traps; each trap triggers once. */
export class Traps implements SimulationObserver {
  private armed: Trap[] = [];

  constructor(private readonly trigger: TriggerTrap) {}

  /** Arms a trap. */
  arm(trap: Trap): void {
    if (this.armed.length < ARMED_LIMIT) {
      this.armed.push(trap);
    }
  }

  /** Removes all traps. */
  disarm(): void {
    this.armed = [];
  }

  stepped(step: StepRecord): void {
    if (this.armed.length === 0) {
      return;
    }
    const triggered = this.armed.filter(({ moment }) => matchesMoment(moment, step));
    this.armed = this.armed.filter((trap) => !triggered.includes(trap));
    triggered.forEach((trap) => this.trigger(trap, step.node));
  }
}
