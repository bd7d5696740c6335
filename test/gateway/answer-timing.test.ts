import { describe, expect, it } from 'vitest';
import type { Route } from '../../src/gateway/model/route.js';
import type { CallId } from '../../src/gateway/model/request.js';
import {
  answerMarginMs,
  createAnswerDelays,
  recordHandover,
  recordTimer,
} from '../../src/gateway/requests/answer-delays.js';
import { gatherOf, routeTo, success, VirtualGateway } from './virtual-gateway.js';

const SHARDS = 90;

const gatewayWith = (fields: Partial<Route> = {}): VirtualGateway => {
  const gateway = new VirtualGateway();
  gateway.configure(1, [routeTo(gatherOf(SHARDS, 0.85), { objectiveMs: 55.9, ...fields })]);
  gateway.listReplicas(Array.from({ length: SHARDS }, (_, index) => `s${index}`));
  return gateway;
};

/** Lets the process handle 200 timers, each late by this time in milliseconds. */
const measureLateness = ({ state }: VirtualGateway, lateMs: number): void => {
  for (let sample = 0; sample < 200; sample += 1) {
    recordTimer(state.answerDelays, 0, lateMs);
  }
};

/** Answers the attempts with indexes from `from` to before `to`, at `at` milliseconds. */
const answerParts = (gateway: VirtualGateway, from: number, to: number, at: number): void => {
  gateway.advanceTo(at);
  gateway.sent
    .slice(from, to)
    .forEach((attempt) => gateway.end(attempt, success(attempt.replica.id)));
};

const answeredAt = (gateway: VirtualGateway, call: CallId): number =>
  gateway.answeredAt.get(call) ?? Number.NaN;

describe('the margin before the objective of a gather', () => {
  const gatherAnsweredAt = (gateway: VirtualGateway, isFirst: boolean): number => {
    const call = gateway.request(500, isFirst);
    answerParts(gateway, 0, 80, 10);
    gateway.advanceTo(300);
    return answeredAt(gateway, call);
  };

  it('is the fixed one until enough delays were measured, so that few samples do not make answers late', () => {
    const gateway = gatewayWith();
    for (let sample = 0; sample < 40; sample += 1) {
      recordTimer(gateway.state.answerDelays, 0, 0);
    }
    expect(gatherAnsweredAt(gateway, false)).toBeCloseTo(42.9);
  });

  it('is not below the fixed one in an idle process, whose timers do not show all delays', () => {
    const gateway = gatewayWith();
    measureLateness(gateway, 0.5);
    expect(gatherAnsweredAt(gateway, false)).toBeCloseTo(55.9 - 6 - 7);
  });

  it('keeps answers in time in a process whose events are handled 10 ms late', () => {
    const gateway = gatewayWith({ objectiveMs: 172 });
    measureLateness(gateway, 10);
    const at = gatherAnsweredAt(gateway, false);
    // The request was read 10 ms late, the timer is handled 10 ms late, and the caller is 6 ms away in total.
    expect(at + 6 + 10 + 10).toBeLessThanOrEqual(172);
    expect(at + 6 + 10 + 10).toBeGreaterThan(165);
  });

  it('takes at most 0.3 of a short objective, so that a busy process still collects parts', () => {
    const gateway = gatewayWith();
    measureLateness(gateway, 30);
    expect(gatherAnsweredAt(gateway, false)).toBeCloseTo(55.9 * 0.7);
  });

  it('takes at most 40 ms and the path for an objective of 1,000 ms', () => {
    const gateway = gatewayWith({ objectiveMs: 1_000, timeoutMs: 2_000 });
    measureLateness(gateway, 120);
    const call = gateway.request(1_900);
    answerParts(gateway, 0, 80, 10);
    gateway.advanceTo(1_500);
    expect(answeredAt(gateway, call)).toBeCloseTo(1_000 - 46);
  });

  it('covers one more round trip for a caller that opened a connection', () => {
    const [old, first] = [false, true].map((isFirst) => {
      const gateway = gatewayWith({ objectiveMs: 172 });
      measureLateness(gateway, 0.5);
      return gatherAnsweredAt(gateway, isFirst);
    });
    expect((old ?? 0) - (first ?? 0)).toBeCloseTo(6);
  });

  it('covers the time in which answers of the route are handed over', () => {
    const delays = createAnswerDelays();
    const route = routeTo(gatherOf(SHARDS, 0.85), { objectiveMs: 172 });
    for (let sample = 0; sample < 200; sample += 1) {
      recordTimer(delays, 0, 6);
    }
    const before = answerMarginMs(delays, route, false);
    for (let sample = 0; sample < 60; sample += 1) {
      recordHandover(delays, route.name, 4);
    }
    expect(answerMarginMs(delays, route, false) - before).toBeCloseTo(4, 1);
  });

  it('returns to its former value after the process was busy for a while', () => {
    const gateway = gatewayWith();
    measureLateness(gateway, 0.5);
    measureLateness(gateway, 30);
    for (let repeat = 0; repeat < 8; repeat += 1) {
      measureLateness(gateway, 0.5);
    }
    expect(gatherAnsweredAt(gateway, false)).toBeCloseTo(42.9);
  });

  it('does not grow by timers that were late because the process was paused', () => {
    const gateway = gatewayWith();
    measureLateness(gateway, 0.5);
    measureLateness(gateway, 3_000);
    expect(gatherAnsweredAt(gateway, false)).toBeCloseTo(42.9);
  });

  it('ends at the deadline of a caller whose deadline is before the objective', () => {
    const gateway = gatewayWith();
    measureLateness(gateway, 0.5);
    const call = gateway.request(40);
    answerParts(gateway, 0, 80, 10);
    gateway.advanceTo(300);
    expect(answeredAt(gateway, call)).toBe(30);
  });
});

describe('a timer of a request', () => {
  it('is measured when it is handled late, as is the handover of the answer of a gather', () => {
    const gateway = gatewayWith();
    const call = gateway.request(500);
    const dueAt = gateway.timers.get(call) ?? Number.NaN;
    gateway.now = dueAt + 8;
    gateway.emit({ type: 'request-due', at: gateway.now, call });
    expect(gateway.state.answerDelays.lateness.total).toBe(1);
    answerParts(gateway, 0, SHARDS, gateway.now);
    const answer = gateway.effects.find((effect) => effect.type === 'answer-caller');
    expect(answer).toMatchObject({ handover: { route: 'route', decidedAt: gateway.now } });
    const handover = { route: 'route', decidedAt: gateway.now };
    gateway.emit({ type: 'answer-sent', at: gateway.now + 8, handover });
    expect(gateway.state.answerDelays.handovers.get('route')?.mean).toBeCloseTo(1);
  });
});
