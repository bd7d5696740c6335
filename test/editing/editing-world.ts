/** Simulates nodes that run the real core against the store model, in virtual time. */
import type { Effect } from '../../src/core/effect.js';
import type { Event } from '../../src/core/event.js';
import {
  identifier,
  type CallId,
  type NodeId,
  type ObjectName,
} from '../../src/core/identifiers.js';
import { createRandom, type Random } from '../../src/core/random.js';
import type { step } from '../../src/core/reducer.js';
import { createCoreState, type CoreState } from '../../src/core/state.js';
import type { StoreObject } from '../../src/catalog/store-object.js';
import { StoreModel } from '../../src/standins/store-model/store-model.js';
import type { EditOutcome, EditRequest } from '../../src/table/edit.js';

/** Faults of the link to the store; shares are from 0 to 1. */
export interface StoreLink {
  /** Share of requests lost before they reach the store. */
  readonly requestLost: number;
  /** Share of answers lost after the request took effect. */
  readonly answerLost: number;
  /** Share of requests that reach the store only after their timeout. */
  readonly late: number;
}

export const RELIABLE_LINK: StoreLink = { requestLost: 0, answerLost: 0, late: 0 };

/** Timeout of a request to the store. */
export const STORE_TIMEOUT_MS = 400;
const LATE_MS = 900;
const RESTART_MS = 300;

interface WorldOptions {
  readonly nodes: number;
  readonly seed: number;
  readonly objects?: readonly StoreObject[];
  readonly step: typeof step;
}

interface WorldNode {
  readonly core: CoreState;
  readonly timers: Map<string, number>;
  pausedUntil: number;
}

interface WaitingCall {
  readonly node: number;
  readonly edit: EditRequest;
  readonly done: (outcome: EditOutcome) => void;
}

export class EditingWorld {
  readonly store: StoreModel;
  readonly random: Random;
  readonly nodes: WorldNode[];
  readonly logs: string[] = [];
  link: StoreLink = RELIABLE_LINK;
  /** True while nodes receive changes of the store. */
  watching = true;
  /** Types of the effects executed on the store. */
  readonly storeEffects: string[] = [];
  /** Number of requests that timed out. */
  unanswered = 0;
  now = 0;
  private readonly queue: { at: number; order: number; run: () => void }[] = [];
  private readonly waiting = new Map<CallId, WaitingCall>();
  private order = 0;
  private calls = 0;
  private processCount = 0;

  constructor(private readonly options: WorldOptions) {
    this.random = createRandom(options.seed);
    this.store = new StoreModel({ objects: options.objects ?? [], seed: options.seed + 1 });
    this.nodes = Array.from({ length: options.nodes }, (_, index) => this.createNode(index));
    this.nodes.forEach((_, index) => this.deliverChanges(index, 0));
    this.run(() => this.nodes.every(({ core }) => core.phase === 'serving'));
  }

  /** Delivers an edit to a node; calls `done` with the outcome. */
  send(node: number, edit: EditRequest, done: (outcome: EditOutcome) => void): void {
    this.calls += 1;
    const call = identifier<CallId>(`call-${this.calls}`);
    this.waiting.set(call, { node, edit, done });
    this.dispatch(this.nodes[node], { type: 'edit-requested', at: this.now, call, edit });
  }

  /** Delivers an edit and runs until its outcome. */
  edit(node: number, edit: EditRequest): EditOutcome {
    const outcomes: EditOutcome[] = [];
    this.send(node, edit, (each) => outcomes.push(each));
    this.run(() => outcomes.length > 0);
    const [outcome] = outcomes;
    if (outcome === undefined) {
      throw new Error('the edit has no outcome');
    }
    return outcome;
  }

  /** Replaces a process without notice by one with an empty state. */
  restart(node: number): void {
    this.nodes[node] = this.createNode(node);
    this.deliverChanges(node, RESTART_MS);
    for (const [call, { edit, done, node: at }] of this.waiting) {
      if (at === node) {
        this.waiting.delete(call);
        const outcome = { type: 'unknown', edit: edit.edit, problem: 'connection lost' } as const;
        this.after(1, () => done(outcome));
      }
    }
  }

  /** Pauses a process; events that arrive meanwhile are delivered afterwards. */
  pause(node: number, forMs: number): void {
    const target = this.nodes[node];
    if (target !== undefined) {
      target.pausedUntil = this.now + forMs;
    }
  }

  /** Calls `action` after `delay` milliseconds. */
  after(delay: number, action: () => void): void {
    this.order += 1;
    const entry = { at: this.now + delay, order: this.order, run: action };
    const index = this.queue.findLastIndex((each) => each.at <= entry.at);
    this.queue.splice(index + 1, 0, entry);
  }

  /** Runs until `done` returns true or no events are left. */
  run(done: () => boolean): void {
    while (!done()) {
      const next = this.queue.shift();
      if (next === undefined) {
        return;
      }
      this.now = next.at;
      next.run();
    }
  }

  /** Delivers all changes of the store to a node after `delay` milliseconds. */
  deliverChanges(node: number, delay: number): void {
    const target = this.nodes[node];
    this.after(delay, () => {
      const after = target?.core.configuration.revision ?? 0;
      const changes = this.store.changesAfter(after);
      if (changes.type === 'changes') {
        const { through, objects } = changes;
        this.dispatch(target, { type: 'store-changed', at: this.now, after, through, objects });
      }
    });
  }

  private createNode(index: number): WorldNode {
    const self = {
      node: identifier<NodeId>(`node-${index}`),
      zone: identifier<never>('bole'),
      region: 'addis',
      address: { host: '127.0.0.1', port: 1 + index },
      incarnation: 1,
    };
    this.processCount += 1;
    const seed = this.options.seed * 100 + this.processCount;
    const core = createCoreState({ self, seeds: [], seed });
    return { core, timers: new Map(), pausedUntil: 0 };
  }

  private dispatch(target: WorldNode | undefined, event: Event): void {
    if (target === undefined || !this.nodes.includes(target)) {
      return;
    }
    const pausedFor = target.pausedUntil - this.now;
    if (pausedFor > 0) {
      this.after(pausedFor, () => this.dispatch(target, { ...event, at: this.now }));
      return;
    }
    const effects = this.options.step(target.core, event);
    effects.forEach((effect) => this.runEffect(target, effect));
  }

  private answer(call: CallId, outcome: EditOutcome): void {
    const waiting = this.waiting.get(call);
    this.waiting.delete(call);
    waiting?.done(outcome);
  }

  private runEffect(target: WorldNode, effect: Effect): void {
    switch (effect.type) {
      case 'answer-operator':
        this.answer(effect.call, effect.outcome);
        break;
      case 'set-timer':
        this.setTimer(target, effect);
        break;
      case 'cancel-timer':
        target.timers.delete(`${effect.key.purpose}|${effect.key.subject}`);
        break;
      case 'read-object':
        this.storeEffects.push(effect.type);
        this.callStore(target, effect.request, () => {
          const object = this.store.read(effect.name);
          return object === undefined ? { type: 'object-read' } : { type: 'object-read', object };
        });
        break;
      case 'write-object':
        this.storeEffects.push(effect.type);
        this.callStore(target, effect.request, () => this.write(effect));
        break;
      case 'write-log':
        this.logs.push(effect.sentence);
        break;
      default:
        break;
    }
  }

  private setTimer(target: WorldNode, { key, at }: Extract<Effect, { type: 'set-timer' }>): void {
    const name = `${key.purpose}|${key.subject}`;
    this.order += 1;
    const token = this.order;
    target.timers.set(name, token);
    this.after(at - this.now, () => {
      if (target.timers.get(name) === token) {
        target.timers.delete(name);
        this.dispatch(target, { type: 'timer-fired', at: this.now, key });
      }
    });
  }

  private write(effect: Extract<Effect, { type: 'write-object' }>) {
    const written = this.store.write(effect.name, effect.expectedVersion, effect.content);
    if (written.type === 'refused') {
      return { type: 'object-write-refused', version: written.version } as const;
    }
    if (this.watching) {
      this.nodes.forEach((_, index) => this.deliverChanges(index, this.random.nextBelow(40)));
    }
    const { version, revision, answerLost } = written;
    return answerLost ? undefined : ({ type: 'object-written', version, revision } as const);
  }

  /** Sends a request to the store and its answer back, subject to the faults of the link. */
  private callStore(
    target: WorldNode,
    request: Extract<Effect, { type: 'read-object' }>['request'],
    execute: () => object | undefined,
  ): void {
    const fail = (): void => {
      this.unanswered += 1;
      const failed = { type: 'object-request-failed', request, problem: 'timed out' } as const;
      this.dispatch(target, { ...failed, at: this.now });
    };
    const roll = this.random.next();
    const { requestLost, late, answerLost } = this.link;
    if (this.store.currentFaults.down || roll < requestLost) {
      this.after(STORE_TIMEOUT_MS, fail);
      return;
    }
    if (roll < requestLost + late) {
      this.after(STORE_TIMEOUT_MS, fail);
      this.after(LATE_MS, execute);
      return;
    }
    this.after(1 + this.random.nextBelow(15), () => {
      const answer = execute();
      if (answer === undefined || this.random.next() < answerLost) {
        this.after(STORE_TIMEOUT_MS, fail);
        return;
      }
      this.after(1 + this.random.nextBelow(15), () =>
        this.dispatch(target, { ...answer, at: this.now, request } as Event),
      );
    });
  }
}

/** Name of a partner's sheet. */
export const sheetName = (partner: string): ObjectName => identifier(`sheet/${partner}`);
