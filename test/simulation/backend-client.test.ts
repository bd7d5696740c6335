import { beforeEach, describe, expect, it } from 'vitest';
import type { SendAttempt } from '../../src/core/effect.js';
import { identifier } from '../../src/core/identifiers.js';
import type { AttemptOutcome } from '../../src/protocol/leg-messages.js';
import { BackendClient } from '../../src/simulation/backend-client.js';
import { Reachability } from '../../src/simulation/reachability.js';
import { Scheduler } from '../../src/simulation/scheduler.js';
import { SimulatedReplica } from '../../src/simulation/simulated-replica.js';

const STATUS = {
  replica: identifier<never>('desk-r1'),
  zone: identifier<never>('south'),
  host: 'desk-r1',
  port: 9_000,
  slots: 1,
  connections: 2,
  lifecycle: 'ready',
  snapshots: [1],
} as const;

const makeAttempt = (attempt: string, connections = 2): SendAttempt => ({
  type: 'send-attempt',
  context: {
    request: identifier(`request-${attempt}`),
    partner: identifier('ensemble'),
    route: identifier('route'),
    kind: identifier('kind'),
    snapshot: 1,
    safeToRepeat: true,
    maxItems: 1,
    payload: null,
  },
  leg: { attempt: identifier(attempt), shard: identifier('desk#0'), replica: STATUS.replica },
  replica: STATUS,
  remainingMs: 100,
  connections,
});

describe('BackendClient', () => {
  let scheduler: Scheduler;
  let reachability: Reachability;
  let replica: SimulatedReplica;
  let client: BackendClient;
  let ended: { attempt: string; outcome: AttemptOutcome }[];

  beforeEach(() => {
    scheduler = new Scheduler();
    reachability = new Reachability();
    replica = new SimulatedReplica({
      partner: identifier('ensemble'),
      service: identifier('desk'),
      status: STATUS,
      snapshots: [{ version: 1, shardCount: 1 }],
      medianServiceMs: 10,
      scheduler,
      seed: 1,
    });
    ended = [];
    client = new BackendClient({
      place: { name: 'node', zone: 'north' },
      scheduler,
      reachability,
      findReplica: (address) => (address === 'desk-r1:9000' ? replica : undefined),
      latency: () => 1,
      onEnded: (attempt, outcome) => ended.push({ attempt, outcome }),
    });
  });

  it('completes all attempts with no more connections than allowed', () => {
    ['a', 'b', 'c', 'd'].forEach((attempt) => {
      client.send(makeAttempt(attempt));
    });
    scheduler.runUntil(99);
    expect(ended.map(({ attempt, outcome }) => [attempt, outcome.type])).toEqual([
      ['a', 'answered'],
      ['b', 'answered'],
      ['c', 'answered'],
      ['d', 'answered'],
    ]);
    expect(replica.peakConnections).toBe(2);
    expect(replica.runs).toHaveLength(4);
  });

  it('reports not-run only when no byte has been sent', () => {
    replica.setFaults({ frozen: true });
    client.send(makeAttempt('frozen', 1));
    client.send(makeAttempt('waiting', 1));
    scheduler.runUntil(10);
    client.cancel(identifier('waiting'));
    scheduler.runUntil(200);
    expect(ended).toEqual([
      { attempt: 'waiting', outcome: { type: 'not-run', reason: 'cancelled-before-sent' } },
      { attempt: 'frozen', outcome: { type: 'unknown', reason: 'timed-out' } },
    ]);
  });

  it('reports a refused connection as not run and a broken one as unknown', () => {
    client.send(makeAttempt('broken'));
    scheduler.runUntil(6);
    replica.setFaults({ dead: true });
    scheduler.runUntil(8);
    client.send(makeAttempt('refused'));
    scheduler.runUntil(20);
    expect(ended).toEqual([
      { attempt: 'broken', outcome: { type: 'unknown', reason: 'connection-lost' } },
      { attempt: 'refused', outcome: { type: 'not-run', reason: 'connect-failed' } },
    ]);
  });

  it('releases the replica slot of a cancelled attempt', () => {
    client.send(makeAttempt('cancelled'));
    client.send(makeAttempt('next'));
    scheduler.runUntil(6);
    expect(replica.inFlight).toBe(1);
    expect(replica.runs.map(({ attempt }) => attempt)).toEqual(['cancelled']);
    client.cancel(identifier('cancelled'));
    scheduler.runUntil(8);
    expect(replica.runs.map(({ attempt }) => attempt)).toEqual(['cancelled', 'next']);
    scheduler.runUntil(99);
    expect(ended.map(({ attempt, outcome }) => [attempt, outcome.type])).toEqual([
      ['cancelled', 'unknown'],
      ['next', 'answered'],
    ]);
  });

  it('loses attempts to a replica that is cut off', () => {
    reachability.cutZones('north', 'south');
    client.send(makeAttempt('cut'));
    scheduler.runUntil(200);
    expect(ended).toEqual([
      { attempt: 'cut', outcome: { type: 'not-run', reason: 'deadline-passed' } },
    ]);
    expect(replica.runs).toHaveLength(0);
  });
});
