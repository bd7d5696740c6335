import { describe, expect, it } from 'vitest';
import type { AttemptResult } from '../../src/gateway/model/request.js';
import { gatherOf, routeTo, success, VirtualGateway } from './virtual-gateway.js';

const SERVICE = { type: 'service', service: 's0' } as const;
const REFUSED: AttemptResult = { type: 'refused', reason: 'full' };
const LOST: AttemptResult = { type: 'failed', problem: 'reset', mayHaveRun: true };
const UNREACHED: AttemptResult = { type: 'failed', problem: 'connect-refused', mayHaveRun: false };

const retryAfterOf = (gateway: VirtualGateway, call: number): number => {
  const response = gateway.answers.get(call);
  return response?.type === 'refusal' ? (response.retryAfterMs ?? Number.NaN) : Number.NaN;
};

const gatewayWith = (shards: number, minCoverage: number, slack?: number): VirtualGateway => {
  const gateway = new VirtualGateway(slack);
  gateway.configure(1, [routeTo(gatherOf(shards, minCoverage))]);
  gateway.listReplicas(Array.from({ length: shards }, (_, index) => `s${index}`));
  return gateway;
};

/** Answers the first `count` attempts at time `at`, in milliseconds. */
const answerFirst = (gateway: VirtualGateway, count: number, at: number): void => {
  gateway.now = at;
  gateway.sent
    .slice(0, count)
    .forEach((attempt) => gateway.end(attempt, success(attempt.replica.id)));
};

describe('a gather in virtual time', () => {
  it('answers with the parts received so far 13 ms before its objective', () => {
    const gateway = gatewayWith(10, 0.8);
    const call = gateway.request();
    answerFirst(gateway, 9, 10);
    gateway.advanceTo(86);
    expect(gateway.answers.has(call)).toBe(false);
    gateway.advanceTo(87);
    expect(gateway.answers.get(call)).toMatchObject({ type: 'merged', missingShards: 1 });
  });

  it('answers earlier when the caller opened a connection for the request', () => {
    const gateway = gatewayWith(10, 0.8);
    const call = gateway.request(900, true);
    answerFirst(gateway, 9, 10);
    gateway.advanceTo(79);
    expect(gateway.answers.has(call)).toBe(false);
    gateway.advanceTo(80);
    expect(gateway.answers.get(call)).toMatchObject({ type: 'merged', missingShards: 1 });
  });

  it('answers with the parts received so far when its caller allows less time than the objective', () => {
    const gateway = gatewayWith(10, 0.8);
    const call = gateway.request(50);
    answerFirst(gateway, 9, 10);
    gateway.advanceTo(50);
    expect(gateway.answers.get(call)).toMatchObject({ type: 'merged', missingShards: 1 });
  });

  it('answers at the least coverage once the objective has passed', () => {
    const gateway = gatewayWith(10, 0.8);
    const call = gateway.request();
    gateway.sent
      .slice(0, 7)
      .forEach((attempt) => gateway.end(attempt, success(attempt.replica.id)));
    gateway.advanceTo(300);
    expect(gateway.answers.has(call)).toBe(false);
    const eighth = gateway.sent[7];
    if (eighth !== undefined) {
      gateway.end(eighth, success(eighth.replica.id));
    }
    expect(gateway.answers.get(call)).toMatchObject({ type: 'merged', missingShards: 2 });
  });

  it('hedges no leg while most legs are open, and only the open ones later', () => {
    const gateway = gatewayWith(10, 0.8);
    gateway.request();
    gateway.advanceTo(50);
    expect(gateway.sent).toHaveLength(10);
    gateway.sent
      .slice(0, 8)
      .forEach((attempt) => gateway.end(attempt, success(attempt.replica.id)));
    gateway.advanceTo(56);
    expect(gateway.sent).toHaveLength(12);
    const [first, second] = gateway.sent.slice(8, 10);
    const hedges = gateway.sent.slice(10).map(({ replica }) => replica.service);
    expect(hedges).toEqual([first?.replica.service, second?.replica.service]);
    const replicas = new Set(gateway.sent.map(({ replica }) => replica.id));
    expect(replicas.size).toBe(12);
  });

  it('aborts the slower attempt of a leg 40 ms after the other one was answered', () => {
    const gateway = gatewayWith(10, 0.8);
    gateway.request();
    gateway.sent
      .slice(0, 8)
      .forEach((attempt) => gateway.end(attempt, success(attempt.replica.id)));
    gateway.advanceTo(56);
    const [slow, , hedge] = gateway.sent.slice(8);
    if (hedge !== undefined) {
      gateway.end(hedge, success(hedge.replica.id));
    }
    expect(gateway.effects).toContainEqual({
      type: 'abort-attempt',
      attempt: slow?.attempt,
      withinMs: 40,
    });
  });

  it('aborts the slower attempt of an answered leg once, not again when the request ends', () => {
    const gateway = gatewayWith(10, 0.8);
    const call = gateway.request();
    answerFirst(gateway, 8, 0);
    gateway.advanceTo(56);
    const [slow, other, hedge] = gateway.sent.slice(8);
    for (const attempt of [hedge, other]) {
      if (attempt !== undefined) {
        gateway.end(attempt, success(attempt.replica.id));
      }
    }
    expect(gateway.answers.get(call)).toMatchObject({ type: 'merged', missingShards: 0 });
    const aborts = gateway.effects.filter(
      (effect) => effect.type === 'abort-attempt' && effect.attempt === slow?.attempt,
    );
    expect(aborts).toHaveLength(1);
  });

  it('pauses a leg that no replica accepts, uses all replicas again and completes', () => {
    const gateway = gatewayWith(4, 1);
    const call = gateway.request();
    const [refused, ...others] = gateway.sent.splice(0);
    others.forEach((attempt) => gateway.end(attempt, success(attempt.replica.id)));
    if (refused !== undefined) {
      gateway.end(refused, UNREACHED);
    }
    const second = gateway.sent.shift();
    if (second !== undefined) {
      gateway.end(second, UNREACHED);
    }
    expect(gateway.answers.has(call)).toBe(false);
    gateway.advanceTo(30);
    const [third] = gateway.sent;
    expect(third?.replica.service).toBe(refused?.replica.service);
    if (third !== undefined) {
      gateway.end(third, success(third.replica.id));
    }
    expect(gateway.answers.get(call)).toMatchObject({ type: 'merged', missingShards: 0 });
  });

  it('is refused at once when too few shards can still answer', () => {
    const gateway = gatewayWith(2, 1);
    const call = gateway.request();
    gateway.sent.splice(0).forEach((attempt) => gateway.end(attempt, LOST));
    gateway.sent.splice(0).forEach((attempt) => gateway.end(attempt, LOST));
    expect(gateway.answers.get(call)).toMatchObject({ type: 'refusal', mayHaveRun: true });
    expect(gateway.answeredAt.get(call)).toBe(0);
  });

  it('is refused at the timeout of its route', () => {
    const gateway = gatewayWith(2, 1);
    const call = gateway.request(5_000);
    gateway.advanceTo(2_000);
    expect(gateway.answers.get(call)).toMatchObject({ type: 'refusal', reason: 'deadline' });
    expect(gateway.answeredAt.get(call)).toBe(1_000);
  });
});

describe('a request for one service in virtual time', () => {
  const gatewayFor = (repeatable: boolean): VirtualGateway => {
    const gateway = new VirtualGateway();
    gateway.configure(1, [routeTo(SERVICE, { repeatable })]);
    gateway.listReplicas(['s0']);
    return gateway;
  };

  it('that is not repeatable is neither hedged nor retried once it may have run', () => {
    const gateway = gatewayFor(false);
    const call = gateway.request();
    gateway.advanceTo(200);
    expect(gateway.sent).toHaveLength(1);
    gateway.sent.slice().forEach((attempt) => gateway.end(attempt, LOST));
    expect(gateway.sent).toHaveLength(1);
    expect(gateway.answers.get(call)).toMatchObject({ type: 'refusal', mayHaveRun: true });
    expect(gateway.answers.get(call)).not.toHaveProperty('retryAfterMs');
  });

  it('that is not repeatable is refused with a retry delay when it has not run', () => {
    const gateway = gatewayFor(false);
    const call = gateway.request();
    gateway.sent.splice(0).forEach((attempt) => gateway.end(attempt, REFUSED));
    gateway.sent.splice(0).forEach((attempt) => gateway.end(attempt, REFUSED));
    gateway.advanceTo(20);
    expect(gateway.answers.get(call)).toMatchObject({ type: 'refusal', mayHaveRun: false });
    expect(gateway.answers.get(call)).toHaveProperty('retryAfterMs');
  });

  it('prefers the replica in the zone of the gateway, and the other one while that one is slow', () => {
    const gateway = gatewayFor(true);
    gateway.request();
    expect(gateway.sent[0]?.replica.zone).toBe('bole');
    gateway.advanceTo(40);
    gateway.request();
    expect(gateway.sent.at(-1)?.replica.zone).toBe('arada');
  });
});

describe('a request that arrives before the store was read', () => {
  const routes = [routeTo(SERVICE)];

  it('is held and sent once a configuration and the replicas are known', () => {
    const gateway = new VirtualGateway();
    const call = gateway.request(900);
    gateway.advanceTo(60);
    gateway.configure(1, routes);
    expect(gateway.sent).toEqual([]);
    gateway.listReplicas(['s0']);
    expect(gateway.answers.has(call)).toBe(false);
    expect(gateway.sent).toHaveLength(1);
    expect(gateway.sent[0]?.deadlineAt).toBe(890);
  });

  it("is refused with a retry delay after a tenth of its caller's timeout", () => {
    const gateway = new VirtualGateway();
    const call = gateway.request(900);
    gateway.advanceTo(300);
    expect(gateway.answeredAt.get(call)).toBe(90);
    expect(gateway.answers.get(call)).toMatchObject({
      type: 'refusal',
      reason: 'no-configuration',
      mayHaveRun: false,
    });
    expect(retryAfterOf(gateway, call)).toBeGreaterThanOrEqual(100);
    expect(retryAfterOf(gateway, call)).toBeLessThanOrEqual(200);
    gateway.configure(1, routes);
    gateway.listReplicas(['s0']);
    expect(gateway.sent).toEqual([]);
  });

  it('stays held when only the list of gateways fails, which is not required', () => {
    const gateway = new VirtualGateway();
    const call = gateway.request(900);
    gateway.now = 20;
    const failure = {
      collection: 'gateways',
      problem: 'unavailable',
      detail: 'status 503',
    } as const;
    gateway.emit({ type: 'store-call-failed', at: 20, ...failure });
    expect(gateway.answers.has(call)).toBe(false);
  });

  it('is refused at once when the store fails, and so are later requests', () => {
    const gateway = new VirtualGateway();
    const first = gateway.request(900);
    gateway.now = 20;
    gateway.emit({
      type: 'store-call-failed',
      at: 20,
      collection: 'replicas',
      problem: 'unavailable',
      detail: 'status 503',
    });
    const second = gateway.request(900);
    expect([gateway.answeredAt.get(first), gateway.answeredAt.get(second)]).toEqual([20, 20]);
    expect(gateway.answers.get(second)).toMatchObject({ type: 'refusal', mayHaveRun: false });
  });

  it('is held for 200 ms at most', () => {
    const gateway = new VirtualGateway();
    const call = gateway.request(60_000);
    gateway.advanceTo(300);
    expect(gateway.answeredAt.get(call)).toBe(200);
  });

  it('is discarded when its caller leaves', () => {
    const gateway = new VirtualGateway();
    const call = gateway.request(900);
    gateway.emit({ type: 'caller-left', at: 10, call });
    gateway.configure(1, routes);
    gateway.listReplicas(['s0']);
    expect(gateway.sent).toEqual([]);
    expect(gateway.answers.has(call)).toBe(false);
  });
});

describe('the retry budget', () => {
  it('limits hedges to a ratio of the requests plus the slack', () => {
    const gateway = gatewayWith(1, 1, 4);
    for (let count = 0; count < 100; count += 1) {
      gateway.request();
      gateway.advanceTo(gateway.now + 90);
    }
    const extras = gateway.sent.length - 100;
    expect(extras).toBeGreaterThan(10);
    expect(extras).toBeLessThanOrEqual(0.2 * 100 + 4);
  });
});

describe('a hedge', () => {
  /** Both replicas of the only shard report a slowdown, then a request is sent to one of them. */
  const gatewayWithSlowdowns = (slowdowns: readonly number[]): VirtualGateway => {
    const gateway = gatewayWith(1, 1);
    [...gateway.state.replicas.of('s0')].forEach((replica, index) => {
      replica.load = { running: 0, waiting: 0, slots: 2, slowdown: slowdowns[index] ?? 1 };
      replica.loadAt = 0;
    });
    gateway.request();
    return gateway;
  };

  it('goes to another fast replica when the first attempt is slow', () => {
    const gateway = gatewayWithSlowdowns([1, 1]);
    gateway.advanceTo(60);
    expect(gateway.sent).toHaveLength(2);
  });

  it('is deferred while the other replica is as slow as the one that runs the attempt', () => {
    const gateway = gatewayWithSlowdowns([10, 10]);
    gateway.advanceTo(90);
    expect(gateway.sent).toHaveLength(1);
  });

  it('is sent once the first attempt has run for longer than the other replica would take', () => {
    const gateway = gatewayWithSlowdowns([10, 10]);
    gateway.advanceTo(600);
    expect(gateway.sent).toHaveLength(2);
  });
});

describe('a request that no replica accepts', () => {
  const failAll = (gateway: VirtualGateway): void => {
    while (gateway.sent.length > 0) {
      gateway.sent.splice(0).forEach((attempt) => gateway.end(attempt, UNREACHED));
    }
  };

  const gatewayWithOneReplica = (): VirtualGateway => {
    const gateway = new VirtualGateway();
    gateway.configure(1, [routeTo(SERVICE, { objectiveMs: 500 })]);
    gateway.listReplicas(['s0'], ['bole']);
    return gateway;
  };

  /** Sends a request whose attempts all fail; returns the time until it is refused, in milliseconds. */
  const refusalDelay = (gateway: VirtualGateway): number => {
    const startedAt = gateway.now;
    const call = gateway.request();
    for (let steps = 0; !gateway.answers.has(call) && steps < 20; steps += 1) {
      failAll(gateway);
      gateway.advanceTo(gateway.now + 10);
    }
    return (gateway.answeredAt.get(call) ?? Number.NaN) - startedAt;
  };

  it('pauses at first, and is mostly refused at once when such pauses have ended without an answer', () => {
    const gateway = gatewayWithOneReplica();
    expect(refusalDelay(gateway)).toBeGreaterThan(20);
    const waits = Array.from({ length: 40 }, () => refusalDelay(gateway)).slice(10);
    const immediate = waits.filter((waited) => waited === 0).length;
    expect(immediate).toBeGreaterThan(20);
    expect(immediate).toBeLessThan(30);
  });

  it('gets a retry delay derived from the end of the ejection, with jitter', () => {
    const gateway = gatewayWithOneReplica();
    const waits = Array.from({ length: 12 }, () => {
      refusalDelay(gateway);
      return retryAfterOf(gateway, Math.max(...gateway.answers.keys()));
    });
    expect(Math.max(...waits)).toBeGreaterThan(250);
    expect(Math.max(...waits)).toBeLessThanOrEqual(2_000);
    expect(new Set(waits).size).toBeGreaterThan(6);
  });
});

describe('a request without a matching route', () => {
  it('is logged with the version in force and its age', () => {
    const gateway = new VirtualGateway();
    gateway.configure(30, [routeTo(SERVICE, { pathPrefix: '/other/' })]);
    gateway.listReplicas(['s0']);
    gateway.now = 2_400;
    gateway.request();
    const decisions = gateway.effects.flatMap((effect) =>
      effect.type === 'write-trace' ? effect.decisions.map(({ decision }) => decision) : [],
    );
    const noRoute = { host: 'shop.example', path: '/x', version: 30, versionAgeMs: 2_400 };
    expect(decisions).toMatchObject([{ event: 'request-answered', reason: 'no-route', noRoute }]);
  });
});
