import { describe, expect, it } from 'vitest';
import { type RouteTarget, servicesOf } from '../../src/gateway/model/route.js';
import {
  GATEWAY_BOUNDS,
  gatheringGateway,
  routeTo,
  success,
  VirtualGateway,
} from './virtual-gateway.js';

/** Time from the request to stop until the callers' port is closed, and between two checks, in milliseconds. */
const ACCEPTING_MS = 3_200;
const CHECK_MS = 100;

const checkStop = (gateway: VirtualGateway, at: number, openExchanges = 0): readonly string[] => {
  const before = gateway.effects.length;
  gateway.now = at;
  gateway.emit({ type: 'stop-due', at, openExchanges });
  return gateway.effects.slice(before).map(({ type }) => type);
};

/** Work of each request at its replica, and when the stop is requested, in milliseconds. */
const WORK_MS = 1_200;
const STOP_MS = 20_000;

/** A gateway that has observed a route whose requests run only once, and take `WORK_MS`. */
const slowGateway = (
  target: RouteTarget = { type: 'service', service: 'desk' },
): VirtualGateway => {
  const gateway = new VirtualGateway();
  const fields = { repeatable: false, timeoutMs: 15_000, objectiveMs: 2_000 };
  gateway.configure(1, [routeTo(target, fields)]);
  gateway.listReplicas(servicesOf(target));
  for (let index = 0; index < 12; index += 1) {
    gateway.request(15_000);
    gateway.now += WORK_MS;
    gateway.sent.splice(0).forEach((attempt) => gateway.end(attempt, success('signature')));
  }
  return gateway;
};

/** Slots of all replicas of the route. */
const SLOTS = 4;

/** Sends requests at once, of which the replicas run as many at a time as they have slots. */
const serveBurst = (gateway: VirtualGateway, count: number): void => {
  for (let index = 0; index < count; index += 1) {
    gateway.request(15_000);
  }
  while (gateway.sent.length > 0) {
    gateway.now += WORK_MS;
    gateway.sent.splice(0, SLOTS).forEach((attempt) => gateway.end(attempt, success('signature')));
  }
};

describe('a planned stop', () => {
  // A gateway that had not run for 0.2 s ended with requests in its sockets that it had not read, and cut them off.
  it('reads what callers sent before the port was closed, and answers it before the process ends', () => {
    const gateway = gatheringGateway(1);
    gateway.emit({ type: 'stop-requested', at: 0, signalledMsAgo: 0 });
    const first = checkStop(gateway, ACCEPTING_MS + CHECK_MS);
    expect(first).toContain('close-caller-port');
    expect(first).not.toContain('end-process');
    const call = gateway.request();
    expect(checkStop(gateway, ACCEPTING_MS + 2 * CHECK_MS)).not.toContain('end-process');
    gateway.sent.forEach((attempt) => gateway.end(attempt, success('signature')));
    expect(gateway.answers.has(call)).toBe(true);
    expect(checkStop(gateway, ACCEPTING_MS + 3 * CHECK_MS)).toContain('end-process');
  });

  // Replicas began requests that the process could not wait for; callers lost them without an answer.
  it('refuses a request that cannot be answered before the process ends, and serves one that can', () => {
    const gateway = slowGateway();
    gateway.now = STOP_MS;
    gateway.emit({ type: 'stop-requested', at: STOP_MS, signalledMsAgo: 0 });
    gateway.now = STOP_MS + 3_500;
    const served = gateway.request(15_000);
    gateway.now += WORK_MS;
    gateway.sent.splice(0).forEach((attempt) => gateway.end(attempt, success('signature')));
    expect(gateway.answers.get(served)).toMatchObject({ type: 'pass-through' });
    gateway.now = STOP_MS + 4_900;
    const refused = gateway.request(15_000);
    expect(gateway.sent).toEqual([]);
    expect(gateway.answers.get(refused)).toMatchObject({ reason: 'stopping', mayHaveRun: false });
  });

  // A burst before the stop that had to wait for slots made the gateway refuse requests that idle replicas could serve.
  it('serves a request at an idle replica although earlier ones had to wait for a slot', () => {
    const gateway = slowGateway();
    serveBurst(gateway, 12);
    gateway.emit({ type: 'stop-requested', at: gateway.now, signalledMsAgo: 0 });
    gateway.now += 3_500;
    const served = gateway.request(15_000);
    expect(gateway.sent).toHaveLength(1);
    expect(gateway.answers.has(served)).toBe(false);
  });

  // A request that had to wait for a slot until the process ended was begun too late to be answered.
  it('refuses a request that would wait for a slot until the process ends', () => {
    const gateway = slowGateway();
    gateway.emit({ type: 'stop-requested', at: gateway.now, signalledMsAgo: 0 });
    gateway.now += 3_500;
    const calls = Array.from({ length: 12 }, () => gateway.request(15_000));
    const refused = calls.filter((call) => gateway.answers.has(call));
    expect(gateway.sent).toHaveLength(SLOTS);
    expect(refused).toHaveLength(calls.length - gateway.sent.length);
  });

  // All requests of a split were refused while one of its services had no slot free, also those that another one serves.
  it('serves the requests of a split whose service has a slot free', () => {
    const parts = ['desk', 'spare'].map((service) => ({ service, weight: 1 }));
    const gateway = slowGateway({ type: 'split', parts });
    const calls = Array.from({ length: 2 * SLOTS }, () => gateway.request(15_000));
    const isAtDesk = ({ replica }: { readonly replica: { readonly service: string } }): boolean =>
      replica.service === 'desk';
    gateway.now += WORK_MS;
    gateway.sent.filter(isAtDesk).forEach((attempt) => gateway.end(attempt, success('signature')));
    gateway.sent.length = 0;
    gateway.emit({ type: 'stop-requested', at: gateway.now, signalledMsAgo: 0 });
    gateway.now += 3_500;
    const later = Array.from({ length: 4 }, () => gateway.request(15_000));
    expect(calls.filter((call) => gateway.answers.has(call))).toHaveLength(SLOTS);
    expect(gateway.sent.map(isAtDesk)).toEqual([true, true]);
    expect(later.filter((call) => gateway.answers.has(call))).toHaveLength(2);
  });

  // A request whose own deadline comes before the end was refused although a replica could still answer it.
  it('serves a request that its caller gives up before the process ends anyway', () => {
    const gateway = slowGateway();
    gateway.now = STOP_MS;
    gateway.emit({ type: 'stop-requested', at: STOP_MS, signalledMsAgo: 0 });
    gateway.now = STOP_MS + 4_900;
    gateway.request(200);
    expect(gateway.sent).toHaveLength(1);
  });

  // Requests at a replica that had become slow or silent were cut off without an answer.
  it('answers what replicas still run before it closes the connections', () => {
    const gateway = slowGateway();
    gateway.now = STOP_MS;
    const call = gateway.request(15_000);
    gateway.emit({ type: 'stop-requested', at: STOP_MS, signalledMsAgo: 0 });
    gateway.advanceTo(STOP_MS + GATEWAY_BOUNDS.graceMs - 600);
    expect(gateway.answers.has(call)).toBe(false);
    const effects = checkStop(gateway, STOP_MS + GATEWAY_BOUNDS.graceMs - 400);
    expect(effects).not.toContain('end-process');
    expect(gateway.answers.get(call)).toMatchObject({ reason: 'stopping', mayHaveRun: true });
  });

  // A request that waited for a connection was answered as if a replica might have run it.
  it('takes back what waits for a connection, and tells the caller that it has not run', () => {
    const gateway = slowGateway();
    gateway.now = STOP_MS;
    const call = gateway.request(15_000);
    gateway.emit({ type: 'stop-requested', at: STOP_MS, signalledMsAgo: 0 });
    checkStop(gateway, STOP_MS + 4_900);
    expect(gateway.effects).toContainEqual({
      type: 'recall-attempt',
      attempt: gateway.sent[0]?.attempt,
    });
    gateway.sent
      .splice(0)
      .forEach((attempt) =>
        gateway.end(attempt, { type: 'failed', problem: 'aborted', mayHaveRun: false }),
      );
    expect(gateway.answers.get(call)).toMatchObject({ reason: 'stopping', mayHaveRun: false });
  });

  // A gather was cut off although enough of its parts had arrived.
  it('answers a gather with the parts that have arrived', () => {
    const gateway = gatheringGateway(2);
    gateway.emit({ type: 'stop-requested', at: 0, signalledMsAgo: 0 });
    gateway.now = GATEWAY_BOUNDS.graceMs - 610;
    const call = gateway.request();
    gateway.sent.slice(0, 1).forEach((attempt) => gateway.end(attempt, success('signature')));
    checkStop(gateway, GATEWAY_BOUNDS.graceMs - 400);
    expect(gateway.answers.get(call)).toMatchObject({ type: 'merged', missingShards: 1 });
  });

  // The process ended while it was still sending answers, which callers got in part.
  it('waits for answers that are still being sent, but not until it is killed', () => {
    const gateway = gatheringGateway(1);
    gateway.emit({ type: 'stop-requested', at: 0, signalledMsAgo: 0 });
    checkStop(gateway, ACCEPTING_MS + CHECK_MS);
    expect(checkStop(gateway, ACCEPTING_MS + 2 * CHECK_MS, 1)).not.toContain('end-process');
    expect(checkStop(gateway, GATEWAY_BOUNDS.graceMs - 400, 1)).not.toContain('end-process');
    expect(checkStop(gateway, GATEWAY_BOUNDS.graceMs - 150, 1)).toContain('end-process');
  });

  // A process that read its signal late was killed before it had answered.
  it('counts the grace period from the signal, and keeps to the one that was in force then', () => {
    const gateway = slowGateway();
    gateway.now = STOP_MS;
    const call = gateway.request(15_000);
    gateway.emit({ type: 'stop-requested', at: STOP_MS, signalledMsAgo: 1_500 });
    const bounds = { ...gateway.state.settings.bounds, graceMs: 60_000 };
    const settings = { ...gateway.state.settings, bounds };
    gateway.emit({ type: 'settings-reloaded', at: STOP_MS, settings });
    checkStop(gateway, STOP_MS - 1_500 + GATEWAY_BOUNDS.graceMs - 400);
    expect(gateway.answers.has(call)).toBe(true);
  });

  // A process that was paused until its grace period was nearly over ended without answering what it had read.
  it('answers everything before it ends, even if it was not scheduled in time', () => {
    const gateway = slowGateway();
    gateway.now = STOP_MS;
    const call = gateway.request(15_000);
    gateway.emit({ type: 'stop-requested', at: STOP_MS, signalledMsAgo: 0 });
    const late = STOP_MS + GATEWAY_BOUNDS.graceMs - 50;
    expect(checkStop(gateway, late)).not.toContain('end-process');
    expect(gateway.answers.has(call)).toBe(true);
    expect(checkStop(gateway, late)).toContain('end-process');
  });

  // The log did not say which requests the end of the process had cut off.
  it('logs which exchanges its end cuts off', () => {
    const gateway = gatheringGateway(1);
    gateway.emit({ type: 'stop-requested', at: 0, signalledMsAgo: 0 });
    const exchange = { requestId: 'r-1', isReceived: true, unsentBytes: 1_000 };
    const at = GATEWAY_BOUNDS.graceMs - 150;
    gateway.emit({ type: 'stop-due', at, openExchanges: 1, listedExchanges: [exchange] });
    expect(gateway.effects).toContainEqual({
      type: 'write-log',
      level: 'warn',
      part: 'caller',
      change: { event: 'exchange-cut-off', ...exchange },
    });
  });
});
