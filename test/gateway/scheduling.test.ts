/** Waiting attempts at a feeder: limits, events that end a wait, and the messages between feeders and coordinators. */
import { describe, expect, it, vi } from 'vitest';
import type { AnswerSubquery, SendAttempt } from '../../src/gateway/effect.js';
import type { AttemptResult, CallId } from '../../src/gateway/model/request.js';
import type { SubqueryPart } from '../../src/gateway/model/subquery.js';
import { feederPlan } from '../../src/gateway/peers/service-share.js';
import { recordLoad } from '../../src/gateway/replicas/replica.js';
import { feedingGateway } from './shard-rig.js';
import { GATEWAY_LIST, routeTo, success, VirtualGateway } from './virtual-gateway.js';

const ALERT = { route: 'alert', objectiveMs: 60, partsWithinMs: 40, deadlineMs: 600 };
const SEARCH = { route: 'search', objectiveMs: 170, partsWithinMs: 150, deadlineMs: 1_200 };

const routesOf = (priorities: readonly [number, number]) => (shards: readonly string[]) => [
  routeTo(
    { type: 'gather', shards, maxRecords: 10, minCoverage: 0.9 },
    { name: 'alert', priority: priorities[0], objectiveMs: 60, timeoutMs: 600, pathPrefix: '/a/' },
  ),
  routeTo(
    { type: 'gather', shards, maxRecords: 10, minCoverage: 0.9 },
    { name: 'search', priority: priorities[1], objectiveMs: 170, timeoutMs: 1_200 },
  ),
];

/** Attempts that the first feeder may have in progress at three replicas of two slots. */
const ROOM = 9;

const createFeeder = (priorities: readonly [number, number] = [0, 1]) => {
  const { gateway, shards } = feedingGateway(1, routesOf(priorities));
  const receive = (fields: typeof ALERT, extra: { readonly isRepeat?: boolean } = {}): CallId =>
    gateway.receiveSubquery({ ...fields, ...extra, shards });
  const fill = (): void => {
    while (gateway.sent.length < ROOM) {
      receive(SEARCH);
    }
  };
  return { gateway, shards, receive, fill };
};

/** Any of the gateways, which feed the same replicas. */
const createFeederNamed = (name: string, shards: readonly string[]): VirtualGateway => {
  const gateway = new VirtualGateway(2_000, name);
  gateway.listGateways(GATEWAY_LIST);
  gateway.configure(1, routesOf([0, 1])(shards), 54);
  gateway.listReplicas(shards, ['bole', 'arada', 'bole']);
  return gateway;
};

const partsFor = (gateway: VirtualGateway, call: CallId): readonly SubqueryPart[] =>
  gateway.effects
    .filter((effect): effect is AnswerSubquery => effect.type === 'answer-subquery')
    .filter((effect) => effect.call === call)
    .map(({ part }) => part);

const waitingAt = (gateway: VirtualGateway): number => gateway.state.scheduling.waiting;

const sentAt = (gateway: VirtualGateway, index: number): SendAttempt => {
  const sent = gateway.sent[index];
  if (sent === undefined) {
    throw new Error(`attempt ${index} was not sent`);
  }
  return sent;
};

const lastCall = (gateway: VirtualGateway): CallId | undefined => gateway.sent.at(-1)?.call;

describe('room at the replicas of a shard', () => {
  it('lets a feeder fill the slots of each replica, with one more attempt on its way', () => {
    const { gateway, fill, receive } = createFeeder();
    fill();
    expect(waitingAt(gateway)).toBe(0);
    receive(SEARCH);
    expect([gateway.sent.length, waitingAt(gateway)]).toEqual([ROOM, 1]);
  });

  it('is not divided among feeders, so that each may use the slots that the others leave idle', () => {
    // A second feeder used one slot of each replica while it did not suspect the first one, as others did.
    const [shard = ''] = createFeeder().shards;
    const feeders = feederPlan(createFeeder().gateway.state).feedersOf(shard);
    const sent = feeders.map(({ name }) => {
      const feeder = createFeederNamed(name, [shard]);
      for (let index = 0; index <= ROOM; index += 1) {
        feeder.receiveSubquery({ ...SEARCH, shards: [shard] });
      }
      return feeder.sent.length;
    });
    expect(sent).toEqual(feeders.map(() => ROOM));
  });

  it('ends for every feeder when replicas report the attempts of others', () => {
    const [shard = ''] = createFeeder().shards;
    const feeders = feederPlan(createFeeder().gateway.state).feedersOf(shard);
    const sent = feeders.map(({ name }) => {
      const feeder = createFeederNamed(name, [shard]);
      feeder.state.replicas.of(shard).forEach((replica) => {
        recordLoad(replica, { running: 2, waiting: 5, slots: 2 }, 0);
      });
      feeder.receiveSubquery({ ...SEARCH, shards: [shard] });
      return feeder.sent.length;
    });
    expect(sent).toEqual(feeders.map(() => 0));
  });

  it('holds as many attempts on their way to a replica of another region as it has slots', () => {
    const { gateway, receive, shards } = createFeeder();
    gateway.listReplicas(shards, ['elsewhere']);
    for (let index = 0; index < 6; index += 1) {
      receive(SEARCH);
    }
    expect([gateway.sent.length, waitingAt(gateway)]).toEqual([4, 2]);
  });

  it('follows fresh load reports, and does not wait for an old one', () => {
    const { gateway, receive, fill } = createFeeder();
    const full = { running: 2, waiting: 10, slots: 2 };
    fill();
    gateway.now = 20;
    for (const sent of gateway.sent.slice()) {
      gateway.end(sent, { ...success('s'), load: full } as AttemptResult);
    }
    receive(SEARCH);
    expect([gateway.sent.length, waitingAt(gateway)]).toEqual([ROOM, 1]);
    gateway.advanceTo(182);
    expect([gateway.sent.length, waitingAt(gateway)]).toEqual([ROOM + 1, 0]);
  });

  it('is limited where only anonymous routes differ from those of the tenants', () => {
    const { gateway, receive, shards } = createFeeder([0, 0]);
    const routes = routesOf([0, 0])(shards);
    const anonymous = routes.map((route) => ({ ...route, anonymous: route.name === 'alert' }));
    const tenant = { name: 'shop', priority: 2, keyDigests: ['digest'] };
    gateway.configure(2, anonymous, 32, 54, [tenant]);
    for (let index = 0; index < 20; index += 1) {
      receive(SEARCH);
    }
    expect([gateway.sent.length, waitingAt(gateway)]).toEqual([ROOM, 11]);
  });

  it('is not limited where all classes are the same', () => {
    const { gateway, receive } = createFeeder([1, 1]);
    for (let index = 0; index < 20; index += 1) {
      receive(SEARCH);
    }
    expect([gateway.sent.length, waitingAt(gateway)]).toEqual([20, 0]);
  });
});

describe('a waiting attempt', () => {
  it('starts when an attempt ends, the most urgent one first', () => {
    const { gateway, fill, receive } = createFeeder();
    fill();
    const search = receive(SEARCH);
    const alert = receive(ALERT);
    gateway.now = 10;
    gateway.end(sentAt(gateway, 0), success('s'));
    expect(lastCall(gateway)).toBe(alert);
    gateway.end(sentAt(gateway, 1), success('s'));
    expect(lastCall(gateway)).toBe(search);
    expect(waitingAt(gateway)).toBe(0);
  });

  it('starts before a retry and a hedge of its class', () => {
    const { gateway, fill, receive } = createFeeder();
    fill();
    const first = receive(SEARCH);
    gateway.now = 5;
    const failed = sentAt(gateway, 0);
    gateway.end(failed, { type: 'failed', problem: 'reset', mayHaveRun: true });
    expect([gateway.sent.length, waitingAt(gateway)]).toEqual([ROOM, 2]);
    const other = gateway.sent.find(({ replica }) => replica.id !== failed.replica.id);
    gateway.end(other ?? failed, success('s'));
    expect(lastCall(gateway)).toBe(first);
    expect(waitingAt(gateway)).toBe(1);
    receive(SEARCH);
    gateway.advanceTo(100);
    expect(gateway.sent).toHaveLength(ROOM + 1);
  });

  it('is not held for a stalled replica while another one has room', () => {
    const { gateway, fill, receive } = createFeeder();
    fill();
    const waiting = receive(ALERT);
    const stalled = sentAt(gateway, 0).replica.id;
    const other = gateway.sent.find(({ replica }) => replica.id !== stalled);
    gateway.advanceTo(120);
    if (other !== undefined) {
      gateway.end(other, success('s'));
    }
    expect(gateway.sent.at(-1)).toMatchObject({
      call: waiting,
      replica: { id: other?.replica.id },
    });
  });

  it('starts at a slower replica when the wait for the fast one would be longer', () => {
    // The wait was estimated by the room at all replicas, also at idle ones, for attempts that all wait for the same one.
    const { gateway, receive, shards } = createFeeder();
    const [fast, ...slow] = gateway.state.replicas.of(shards[0] ?? '');
    slow.forEach((replica) => {
      replica.slowdown = 5;
    });
    for (let index = 0; index < 20; index += 1) {
      receive(SEARCH);
    }
    const sentToSlow = gateway.sent.filter(({ replica }) => replica.id !== fast?.record.id);
    // The two slots of the fast one end ten attempts in the time that a slow one takes for one.
    expect(waitingAt(gateway)).toBeGreaterThan(10);
    expect(sentToSlow.length).toBeGreaterThanOrEqual(4);
  });

  it('does not wait for slots that the connections of this gateway cannot fill', () => {
    const { gateway, receive, shards } = createFeeder();
    gateway.configure(2, routesOf([0, 1])(shards), 2);
    const [fast, ...slow] = gateway.state.replicas.of(shards[0] ?? '');
    slow.forEach((replica) => {
      replica.slowdown = 5;
    });
    for (let index = 0; index < 7; index += 1) {
      receive(SEARCH);
    }
    // With one connection, the fast one ends four of them before a slow one ends its first.
    expect(gateway.sent.filter(({ replica }) => replica.id !== fast?.record.id)).toHaveLength(2);
    expect(waitingAt(gateway)).toBe(4);
  });

  it('is not held behind many of a more urgent class that may not use the replica with room', () => {
    // Sixteen attempts that were limited to a region kept the replicas of the other regions idle.
    const { gateway, receive, shards } = createFeeder();
    gateway.listReplicas(shards, ['bole', 'arada', 'bole', 'elsewhere']);
    const near = { allowedRegions: ['addis'] };
    for (let index = 0; index < ROOM; index += 1) {
      gateway.receiveSubquery({ ...SEARCH, ...near, shards });
    }
    for (let index = 0; index < 20; index += 1) {
      gateway.receiveSubquery({ ...ALERT, ...near, shards });
    }
    expect([gateway.sent.length, waitingAt(gateway)]).toEqual([ROOM, 20]);
    const search = receive(SEARCH);
    expect(lastCall(gateway)).toBe(search);
    expect(waitingAt(gateway)).toBe(20);
  });

  it('is not considered for an ejected replica while others may become free', () => {
    // An ejected replica always has room: each check selected replicas for 32 attempts in vain.
    const { gateway, receive, shards } = createFeeder();
    const [ejected] = gateway.state.replicas.of(shards[0] ?? '');
    if (ejected !== undefined) {
      ejected.ejectedUntil = 100;
    }
    for (let index = 0; index < 10; index += 1) {
      receive(SEARCH);
    }
    expect([gateway.sent.length, waitingAt(gateway)]).toEqual([6, 4]);
    const draws = vi.spyOn(gateway.state.random, 'next');
    gateway.now = 10;
    gateway.emit({ type: 'scheduling-due', at: 10 });
    expect(draws).not.toHaveBeenCalled();
    gateway.now = 101;
    gateway.emit({ type: 'scheduling-due', at: 101 });
    expect(waitingAt(gateway)).toBe(1);
  });

  it('is not added for a leg that has no attempt or no replica left', () => {
    // The leg stayed in the queue, and its coordinator waited for it, although it could not be sent.
    const { gateway, fill, receive, shards } = createFeeder();
    const last = gateway.receiveSubquery({ ...SEARCH, maxAttempts: 1, shards });
    const refused = gateway.receiveSubquery({ ...SEARCH, shards });
    fill();
    receive(SEARCH);
    gateway.now = 5;
    gateway.end(sentAt(gateway, 0), { type: 'failed', problem: 'reset', mayHaveRun: true });
    expect(partsFor(gateway, last)).toMatchObject([{ isFinal: true }]);
    const request = gateway.state.requests.get(refused);
    const [leg] = request?.legs ?? [];
    gateway.state.replicas.of(shards[0] ?? '').forEach(({ record }) => {
      leg?.attemptedReplicas.add(record.id);
    });
    gateway.end(sentAt(gateway, 1), { type: 'failed', problem: 'reset', mayHaveRun: false });
    expect([leg?.waiting, leg?.outcome]).toEqual([undefined, { type: 'unanswered' }]);
  });

  it('is dropped when it can no longer be answered, and is reported as dropped, not as unsent', () => {
    const { gateway, fill, receive, shards } = createFeeder();
    fill();
    const call = receive(ALERT);
    gateway.advanceTo(ALERT.deadlineMs - 20);
    expect(partsFor(gateway, call)).toEqual([]);
    gateway.advanceTo(ALERT.deadlineMs);
    expect(partsFor(gateway, call)).toMatchObject([
      { shards: [], unsent: [], dropped: shards, isFinal: true },
    ]);
    expect([waitingAt(gateway), gateway.sent.length]).toEqual([0, ROOM]);
  });

  it('leaves the queue when its coordinator cancels the subquery', () => {
    const { gateway, fill, receive } = createFeeder();
    fill();
    const call = receive(ALERT);
    gateway.emit({ type: 'subquery-cancelled', at: 5, call, withinMs: 0 });
    expect(waitingAt(gateway)).toBe(0);
    gateway.end(sentAt(gateway, 0), success('s'));
    expect(gateway.sent).toHaveLength(ROOM);
  });

  it('leaves the queue when its caller leaves', () => {
    const { gateway, fill } = createFeeder();
    fill();
    const call = gateway.request();
    expect(waitingAt(gateway)).toBe(1);
    gateway.emit({ type: 'caller-left', at: 5, call });
    expect(waitingAt(gateway)).toBe(0);
  });

  it('does not wait for replicas that have left', () => {
    const { gateway, fill, receive, shards } = createFeeder();
    fill();
    const call = receive(SEARCH);
    const [shard = ''] = shards;
    const objects = gateway.state.replicas
      .of(shard)
      .map(({ record }) => ({ name: record.id, gone: true }) as const);
    gateway.emit({
      type: 'changes-read',
      at: 1,
      changes: { collection: 'replicas', objects, revision: 5 },
    });
    gateway.advanceTo(950);
    expect(waitingAt(gateway)).toBe(1);
    for (const sent of gateway.sent.slice()) {
      gateway.end(sent, { type: 'failed', problem: 'reset', mayHaveRun: true });
    }
    gateway.advanceTo(1_200);
    expect(waitingAt(gateway)).toBe(0);
    expect(partsFor(gateway, call).at(-1)).toMatchObject({ isFinal: true });
  });

  it('starts when a replica is listed', () => {
    const { gateway, fill, receive, shards } = createFeeder();
    fill();
    const call = receive(ALERT);
    gateway.now = 1;
    gateway.listReplicas(shards, ['bole', 'arada', 'bole', 'arada']);
    gateway.advanceTo(15);
    expect(lastCall(gateway)).toBe(call);
  });

  it('is served while the process stops', () => {
    const { gateway, fill, receive } = createFeeder();
    fill();
    const call = receive(ALERT);
    gateway.emit({ type: 'stop-requested', at: 1, signalledMsAgo: 0 });
    gateway.end(sentAt(gateway, 0), success('s'));
    expect(lastCall(gateway)).toBe(call);
  });

  it('does not start after a process pause until the state is confirmed', () => {
    const { gateway, fill, receive } = createFeeder();
    fill();
    const call = receive(SEARCH);
    gateway.state.pauseRecovery = { since: 1, requestedAt: undefined };
    gateway.end(sentAt(gateway, 0), success('s'));
    expect(gateway.sent).toHaveLength(ROOM);
    gateway.state.pauseRecovery = undefined;
    gateway.advanceTo(20);
    expect(lastCall(gateway)).toBe(call);
  });
});

describe('expected waits', () => {
  it('are reported only while attempts wait', () => {
    const { gateway, fill, receive, shards } = createFeeder();
    fill();
    gateway.now = 10;
    gateway.end(sentAt(gateway, 0), success('s'));
    const before = partsFor(gateway, sentAt(gateway, 0).call).at(-1);
    expect(before).toMatchObject({ isFinal: true });
    expect(before).not.toHaveProperty('waits');
    receive(SEARCH);
    receive(ALERT);
    receive(SEARCH);
    receive(SEARCH);
    gateway.end(sentAt(gateway, 1), success('s'));
    const [service] = shards;
    const during = partsFor(gateway, sentAt(gateway, 1).call).at(-1);
    expect(during?.waits?.map(({ rank }) => rank)).toEqual([0, 1_001]);
    expect(during?.waits?.every((wait) => wait.service === service)).toBe(true);
  });
});

/** A gateway that is no feeder, and sends its gathers over 20 shards to others. */
const createCoordinator = (): VirtualGateway => {
  const shards = Array.from({ length: 20 }, (_, index) => `s${index}`);
  const gateway = new VirtualGateway(40, 'front-20', 0.1);
  gateway.listGateways(GATEWAY_LIST);
  gateway.configure(1, routesOf([0, 1])(shards), 54);
  gateway.listReplicas(shards);
  return gateway;
};

/** Answers all subqueries with parts, and these waits at each shard or at the first ones of each subquery. */
const answerAll = (
  gateway: VirtualGateway,
  waits: readonly (readonly [number, number])[],
  waitingShards = Number.POSITIVE_INFINITY,
): void => {
  for (const { id, subquery } of gateway.subqueries.splice(0)) {
    const { shards } = subquery;
    const part: SubqueryPart = {
      shards: shards.map((service) => ({ service, signature: 'signed' })),
      records: Buffer.alloc(16 * shards.length),
      waits: shards
        .slice(0, waitingShards)
        .flatMap((service) => waits.map(([rank, waitMs]) => ({ service, rank, waitMs }))),
      isFinal: true,
    };
    gateway.emit({ type: 'subquery-answered', at: gateway.now, subquery: id, part });
  }
};

describe('a coordinator', () => {
  it('refuses a gather at once when waits are beyond its deadline, and sends one in four', () => {
    const gateway = createCoordinator();
    gateway.request(1_200);
    answerAll(gateway, [[1_001, 5_000]]);
    const calls = [1, 2, 3, 4].map(() => gateway.request(1_200));
    const answers = calls.map((call) => gateway.answers.get(call));
    expect(answers.slice(0, 3)).toMatchObject(
      Array(3).fill({ type: 'refusal', reason: 'no-room', mayHaveRun: false }),
    );
    expect(answers[3]).toBeUndefined();
    const [refusal] = answers;
    expect(refusal?.type === 'refusal' && (refusal.retryAfterMs ?? 0) >= 1_500).toBe(true);
  });

  it('sends a gather whose deadline is later than the waits, or whose class does not wait', () => {
    const gateway = createCoordinator();
    gateway.request(1_200);
    answerAll(gateway, [[1_001, 300]]);
    expect(gateway.answers.get(gateway.request(1_200))).toBeUndefined();
    answerAll(gateway, [[2_002, 9_000]]);
    expect(gateway.answers.get(gateway.request(1_200))).toBeUndefined();
  });

  it('forgets the waits of shards that a feeder no longer reports, while it reports others', () => {
    // A report about one shard renewed the earlier ones about all others, and gathers were refused for as long as any waited.
    const gateway = createCoordinator();
    gateway.request(1_200);
    answerAll(gateway, [[1_001, 5_000]]);
    const sendOneInFour = (): boolean[] =>
      [1, 2, 3, 4].map(() => gateway.answers.has(gateway.request(1_200)));
    expect(sendOneInFour()).toEqual([true, true, true, false]);
    gateway.now = 100;
    answerAll(gateway, [[1_001, 5]], 1);
    gateway.now = 110;
    expect(sendOneInFour()).toEqual([false, false, false, false]);
  });

  it('forgets the waits when a feeder reports none', () => {
    const gateway = createCoordinator();
    gateway.request(1_200);
    gateway.request(1_200);
    const [first, second] = [
      gateway.subqueries.splice(0, gateway.subqueries.length / 2),
      gateway.subqueries.splice(0),
    ];
    gateway.subqueries.push(...first);
    answerAll(gateway, [[1_001, 5_000]]);
    expect(gateway.answers.has(gateway.request(1_200))).toBe(true);
    gateway.subqueries.push(...second);
    answerAll(gateway, []);
    expect(gateway.answers.has(gateway.request(1_200))).toBe(false);
  });

  it('does not refuse a gather whose caller leaves it little time for waits that do not exist', () => {
    const gateway = createCoordinator();
    gateway.request(1_200);
    answerAll(gateway, [[2_002, 9_000]]);
    const [first, second] = [1, 2].map(() => gateway.request(22));
    const answers = [first, second].map((call) => call !== undefined && gateway.answers.get(call));
    expect(answers).toEqual([undefined, undefined]);
  });

  it('does not refuse searches because an alert had less time left than its objective', () => {
    const gateway = createCoordinator();
    gateway.request(1_200);
    answerAll(gateway, [[0, 15]]);
    const alert = gateway.request(30, false, undefined, undefined, '/a/x');
    expect(gateway.answers.get(alert)).toMatchObject({ reason: 'no-room' });
    expect(gateway.answers.get(gateway.request(1_200))).toBeUndefined();
  });

  it('sends a gather again when the report is a second old', () => {
    const gateway = createCoordinator();
    gateway.request(1_200);
    answerAll(gateway, [[1_001, 5_000]]);
    gateway.now = 1_001;
    expect(gateway.answers.get(gateway.request(1_200))).toBeUndefined();
  });

  it('refuses a gather whose shards were dropped, and requests them from no other feeder', () => {
    const gateway = createCoordinator();
    const call = gateway.request(1_200);
    const sent = gateway.subqueries.splice(0);
    for (const { id, subquery } of sent) {
      const part = {
        shards: [],
        records: Buffer.alloc(0),
        dropped: subquery.shards,
        isFinal: true,
      };
      gateway.emit({ type: 'subquery-answered', at: 10, subquery: id, part });
    }
    expect(gateway.subqueries).toHaveLength(0);
    expect(gateway.answers.get(call)).toMatchObject({ type: 'refusal', reason: 'no-room' });
  });

  it('moves the waiting legs of a feeder that dies', () => {
    const gateway = createCoordinator();
    gateway.request(1_200);
    const [lost] = gateway.subqueries;
    gateway.emit({ type: 'subquery-failed', at: 5, subquery: lost?.id ?? 0, mayHaveRun: true });
    const moved = gateway.subqueries.filter(({ subquery }) => subquery.isRepeat);
    const shards = moved.flatMap(({ subquery }) => subquery.shards);
    expect(shards.sort()).toEqual([...(lost?.subquery.shards ?? [])].sort());
  });
});

describe('a service that is called directly', () => {
  const refuseAll = (priority: number): number => {
    const gateway = new VirtualGateway();
    gateway.configure(1, [
      routeTo({ type: 'service', service: 'lookup' }, { priority, objectiveMs: 1_000 }),
    ]);
    gateway.listReplicas(['lookup']);
    const call = gateway.request(5_000);
    const load = { running: 2, waiting: 12, slots: 2 };
    for (let index = 0; index < gateway.sent.length; index += 1) {
      gateway.end(sentAt(gateway, index), { type: 'refused', reason: 'full', load });
    }
    gateway.advanceTo(250);
    for (let index = 2; index < gateway.sent.length; index += 1) {
      gateway.end(sentAt(gateway, index), { type: 'refused', reason: 'full', load });
    }
    gateway.advanceTo(400);
    const answer = gateway.answers.get(call);
    expect(answer).toMatchObject({ type: 'refusal', reason: 'replicas-full', mayHaveRun: false });
    return answer?.type === 'refusal' ? (answer.retryAfterMs ?? 0) : 0;
  };

  it('gives a delay by the reported load, longer for less urgent classes', () => {
    const urgent = refuseAll(0);
    expect(urgent).toBeGreaterThanOrEqual(900);
    expect(refuseAll(2)).toBeGreaterThanOrEqual(urgent * 1.9);
  });
});
