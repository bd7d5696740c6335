import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { SendAttempt } from '../../src/gateway/effect.js';
import { ConnectTimeout } from '../../src/gateway/runtime/connect-timeout.js';
import { ReplicaPool } from '../../src/gateway/runtime/replica-pool.js';
import type { ReplicaConnection } from '../../src/gateway/runtime/replica-connection.js';
import { RawReplica } from './raw-replica.js';

let now = 0;
let replica: RawReplica;
let pool: ReplicaPool;
let freed: ReplicaConnection[];

const attemptOf = (repeatable: boolean): SendAttempt => ({
  type: 'send-attempt',
  attempt: 1,
  call: 1,
  replica: {
    id: 'i-1',
    service: 's0',
    ...replica.address,
    zone: 'bole',
    slots: 2,
    draining: false,
    coldMs: 0,
  },
  deadlineAt: 10_000,
  maxConnections: 1,
  repeatable,
});

/** Takes a connection for an attempt, and gives it back as if it had been answered. */
const use = async (repeatable: boolean): Promise<void> => {
  const before = freed.length;
  pool.submit(attemptOf(repeatable));
  while (freed.length === before) {
    await delay(1);
  }
  pool.releaseConnection(freed.at(-1) as ReplicaConnection);
  await delay(1);
};

beforeEach(async () => {
  now = 0;
  freed = [];
  replica = await RawReplica.start(() => undefined);
  pool = new ReplicaPool(replica.address, { now: () => now }, new ConnectTimeout(), {
    onConnectionFree: (_attempt, connection) => freed.push(connection),
    onUnreachable: () => undefined,
  });
});

afterEach(async () => {
  pool.close();
  await replica.stop();
});

describe('a connection that has rested', () => {
  it('is used again for a request that may run more than once', async () => {
    await use(true);
    now = 30_000;
    await use(true);
    expect(replica.connections).toBe(1);
  });

  it('is used again shortly afterwards for one that may run only once', async () => {
    await use(false);
    now = 900;
    await use(false);
    expect(replica.connections).toBe(1);
  });

  it('is replaced after a longer rest for one that may run only once', async () => {
    await use(true);
    now = 1_100;
    await use(false);
    expect(replica.connections).toBe(2);
    expect(freed[0]?.isClosed).toBe(true);
  });
});

describe('the wait for a new connection', () => {
  it('is long at first, and follows from how long connections take', () => {
    const connectTimeout = new ConnectTimeout();
    expect(connectTimeout.timeoutMs).toBe(1_000);
    Array.from({ length: 20 }, () => connectTimeout.recordConnect(7));
    expect(connectTimeout.timeoutMs).toBe(250);
    Array.from({ length: 20 }, (_, index) =>
      connectTimeout.recordConnect(index % 2 === 0 ? 50 : 250),
    );
    expect(connectTimeout.timeoutMs).toBeGreaterThan(300);
    expect(connectTimeout.timeoutMs).toBeLessThan(900);
  });

  it('ends for all attempts at a replica that cannot be reached', async () => {
    await replica.stop();
    const failed: SendAttempt[] = [];
    const unreachable = new ReplicaPool(replica.address, { now: () => now }, new ConnectTimeout(), {
      onConnectionFree: () => undefined,
      onUnreachable: (attempt) => failed.push(attempt),
    });
    [1, 2, 3].forEach((attempt) => unreachable.submit({ ...attemptOf(true), attempt }));
    await delay(100);
    expect(failed.map(({ attempt }) => attempt)).toEqual([1, 2, 3]);
  });
});

describe('a look at a replica', () => {
  const checkReplica = (): Promise<boolean> => new Promise((resolve) => pool.check(resolve));

  it('finds one that takes connections, and keeps the connection', async () => {
    pool.submit(attemptOf(true));
    expect(await checkReplica()).toBe(false);
    await delay(5);
    expect([replica.connections, freed.length]).toEqual([1, 1]);
  });

  it('waits for a connection that is being opened, and opens no other', async () => {
    pool.submit(attemptOf(true));
    pool.submit({ ...attemptOf(true), attempt: 2 });
    expect(await Promise.all([checkReplica(), checkReplica()])).toEqual([false, false]);
    expect(replica.connections).toBe(1);
  });

  it('takes one whose connections are all in use for alive', async () => {
    await use(true);
    expect(await checkReplica()).toBe(false);
    expect(replica.connections).toBe(1);
  });

  it('finds one that has ended while attempts wait for connections to it', async () => {
    await replica.stop();
    pool.submit(attemptOf(true));
    expect(await checkReplica()).toBe(true);
  });

  it('finds one that has ended', async () => {
    await replica.stop();
    expect(await checkReplica()).toBe(true);
  });
});

describe('a replica that is watched', () => {
  const watchReplica = (untilAt: number): boolean[] => {
    const seen: boolean[] = [];
    pool.watch(untilAt, (isDown) => seen.push(isDown));
    return seen;
  };

  it('has a connection kept, and is looked at when it ends', async () => {
    const seen = watchReplica(1_000);
    await delay(20);
    expect([replica.connections, seen]).toEqual([1, [false]]);
    await replica.stop();
    await delay(20);
    expect(seen).toEqual([false, true]);
  });

  it('costs no connection where one is open', async () => {
    await use(true);
    const seen = watchReplica(1_000);
    await replica.stop();
    await delay(20);
    expect([replica.connections, seen]).toEqual([1, [true]]);
  });

  it('is found to have ended before', async () => {
    await replica.stop();
    const seen = watchReplica(1_000);
    await delay(20);
    expect(seen).toEqual([true]);
  });

  it('gets another connection when the last one is given up', async () => {
    await use(true);
    pool.submit(attemptOf(true));
    const seen = watchReplica(1_000);
    freed.at(-1)?.destroy();
    await delay(20);
    expect([replica.connections, seen]).toEqual([2, [false]]);
  });

  it('is looked at no more once the time is over', async () => {
    await use(true);
    const seen = watchReplica(1_000);
    now = 1_001;
    await replica.stop();
    await delay(20);
    expect(seen).toEqual([]);
  });
});
