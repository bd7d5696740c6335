/** Legs that wait at a feeder for room: how they affect the answer of their gather, and requests that may crash replicas. */
import { describe, expect, it } from 'vitest';
import type { AnswerSubquery, SendAttempt } from '../../src/gateway/effect.js';
import type { CallId } from '../../src/gateway/model/request.js';
import { feedingGateway } from './shard-rig.js';
import { routeTo, success, type VirtualGateway } from './virtual-gateway.js';

const ALERT = { route: 'alert', objectiveMs: 60, partsWithinMs: 40, deadlineMs: 600 };
const SEARCH = { route: 'search', objectiveMs: 170, partsWithinMs: 150, deadlineMs: 1_200 };

/** Attempts that the first feeder may have in progress at three replicas of two slots. */
const ROOM = 9;

const createFeeder = (shardCount: number) =>
  feedingGateway(shardCount, (shards) => [
    routeTo(
      { type: 'gather', shards, maxRecords: 10, minCoverage: 0.5 },
      { name: 'alert', priority: 0, objectiveMs: 60, timeoutMs: 600, pathPrefix: '/a/' },
    ),
    routeTo(
      { type: 'gather', shards, maxRecords: 10, minCoverage: 0.5 },
      { name: 'search', priority: 1, objectiveMs: 170, timeoutMs: 1_200 },
    ),
  ]);

/** Fills the replicas of a shard with the attempts of other requests, and returns these attempts. */
const fill = (gateway: VirtualGateway, shard: string): readonly SendAttempt[] => {
  const from = gateway.sent.length;
  for (let index = 0; index < ROOM; index += 1) {
    gateway.receiveSubquery({ ...SEARCH, shards: [shard] });
  }
  return gateway.sent.slice(from);
};

const partsFor = (gateway: VirtualGateway, call: CallId) =>
  gateway.effects
    .filter((effect): effect is AnswerSubquery => effect.type === 'answer-subquery')
    .filter((effect) => effect.call === call)
    .map(({ part }) => part);

const attemptsOf = (gateway: VirtualGateway, call: CallId, shard: string): readonly SendAttempt[] =>
  gateway.sent.filter((sent) => sent.call === call && sent.replica.service === shard);

const firstOf = (attempts: readonly SendAttempt[]): SendAttempt => {
  const [first] = attempts;
  if (first === undefined) {
    throw new Error('no attempt was sent');
  }
  return first;
};

const endAttempts = (gateway: VirtualGateway, attempts: readonly SendAttempt[]): void =>
  attempts.forEach((attempt) => gateway.end(attempt, success(`signed-${attempt.attempt}`)));

const breakAttempt = (gateway: VirtualGateway, attempt: SendAttempt, isDown: boolean): void => {
  gateway.end(attempt, { type: 'failed', problem: 'reset', mayHaveRun: true });
  gateway.emit({
    type: 'replica-checked',
    at: gateway.now,
    replica: attempt.replica.id,
    isDown,
  });
};

describe('a gather of which a leg waits at its own gateway', () => {
  it('awaits the leg until the answer is due', () => {
    // The gather was answered as soon as it had its minimum coverage, without the shards that waited here.
    const { gateway, shards } = createFeeder(3);
    const [full = '', ...others] = shards;
    const filling = fill(gateway, full);
    const call = gateway.request(1_200);
    gateway.now = 10;
    others.forEach((shard) => endAttempts(gateway, attemptsOf(gateway, call, shard)));
    gateway.advanceTo(15);
    expect(gateway.answers.get(call)).toBeUndefined();
    endAttempts(gateway, filling.slice(0, 1));
    endAttempts(gateway, attemptsOf(gateway, call, full));
    expect(gateway.answers.get(call)).toMatchObject({ type: 'merged', missingShards: 0 });
  });
});

describe('a feeder with waiting legs', () => {
  it('sends no early parts for a leg that has waited for less than the hedge delay', () => {
    // Each subquery with a waiting leg cost a message more, while the processes were busiest.
    const { gateway, shards } = createFeeder(3);
    const [full = '', ...others] = shards;
    fill(gateway, full);
    gateway.now = 5;
    const call = gateway.receiveSubquery({ ...ALERT, shards });
    gateway.now = 8;
    others.forEach((shard) => endAttempts(gateway, attemptsOf(gateway, call, shard)));
    gateway.advanceTo(18);
    expect(partsFor(gateway, call)).toEqual([]);
    gateway.advanceTo(40);
    expect(partsFor(gateway, call)).toMatchObject([{ shards: [{}, {}], isFinal: false }]);
  });
});

describe('a waiting leg of a request that may have crashed replicas', () => {
  /** A subquery of two shards; the attempt at the first one runs, the leg of the second one waits. */
  const createWaiting = (isRepeat: boolean) => {
    const { gateway, shards } = createFeeder(2);
    gateway.checksReplicas = false;
    const [free = '', full = ''] = shards;
    const filling = fill(gateway, full);
    const call = gateway.receiveSubquery({ ...SEARCH, maxAttempts: 2, isRepeat, shards });
    gateway.now = 5;
    return { gateway, free, full, filling, call };
  };

  it('is sent once it is released, also as a repeat', () => {
    // A repeat was counted again when it was released, and then had no attempt left.
    const { gateway, free, full, filling, call } = createWaiting(true);
    const broken = firstOf(attemptsOf(gateway, call, free));
    gateway.end(broken, { type: 'failed', problem: 'reset', mayHaveRun: true });
    endAttempts(gateway, filling.slice(0, 1));
    expect(attemptsOf(gateway, call, full)).toHaveLength(0);
    const { id: replica } = broken.replica;
    gateway.emit({ type: 'replica-checked', at: gateway.now, replica, isDown: false });
    gateway.advanceTo(30);
    expect(attemptsOf(gateway, call, full)).toHaveLength(1);
  });

  it('is not reported as unsent when the request is stopped', () => {
    // The coordinator requested the shard from the next feeder, where the request crashed another replica.
    const { gateway, free, filling, call } = createWaiting(false);
    breakAttempt(gateway, firstOf(attemptsOf(gateway, call, free)), true);
    const probe = attemptsOf(gateway, call, free).at(1);
    if (probe !== undefined) {
      breakAttempt(gateway, probe, true);
    }
    endAttempts(gateway, filling.slice(0, 1));
    gateway.advanceTo(60);
    const parts = partsFor(gateway, call);
    expect(parts.at(-1)).toMatchObject({ hasCrashed: true, isFinal: true });
    expect(parts.flatMap(({ unsent = [] }) => unsent)).toEqual([]);
  });
});
