import { once } from 'node:events';
import { type AddressInfo, createServer, type Socket } from 'node:net';
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
  rank: 0,
});

/** Gets a connection for an attempt, and releases it as if the attempt had been answered. */
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

describe('an idle connection', () => {
  it('is reused for a repeatable request', async () => {
    await use(true);
    now = 30_000;
    await use(true);
    expect(replica.connections).toBe(1);
  });

  it('is reused after a short idle time for a request that may run only once', async () => {
    await use(false);
    now = 900;
    await use(false);
    expect(replica.connections).toBe(1);
  });

  it('is replaced after a longer idle time for a request that may run only once', async () => {
    await use(true);
    now = 1_100;
    await use(false);
    expect(replica.connections).toBe(2);
    expect(freed[0]?.isClosed).toBe(true);
  });
});

describe('the connect timeout', () => {
  it('is long at first, then depends on the duration of connects', () => {
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

  it('fails all waiting attempts at an unreachable replica', async () => {
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

/** Uses a pool for a while whose replica ends each connection at once. */
const observe = async (
  endConnection: (socket: Socket) => void,
  use: (pool: ReplicaPool) => void,
): Promise<{ connections: number }> => {
  const seen = { connections: 0 };
  const server = createServer((socket) => {
    seen.connections += 1;
    socket.on('error', () => undefined);
    endConnection(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
  const listener = { onConnectionFree: () => undefined, onUnreachable: () => undefined };
  const closing = new ReplicaPool(address, { now: () => now }, new ConnectTimeout(), listener);
  use(closing);
  await delay(350);
  closing.close();
  server.close();
  return seen;
};

describe('a check of a replica', () => {
  const checkReplica = (): Promise<boolean> => new Promise((resolve) => pool.check(resolve));

  it('finds that the replica accepts connections, and keeps the connection', async () => {
    pool.submit(attemptOf(true));
    expect(await checkReplica()).toBe(false);
    await delay(5);
    expect([replica.connections, freed.length]).toEqual([1, 1]);
  });

  it('waits for a connection that is being opened and opens no other', async () => {
    pool.submit(attemptOf(true));
    pool.submit({ ...attemptOf(true), attempt: 2 });
    expect(await Promise.all([checkReplica(), checkReplica()])).toEqual([false, false]);
    expect(replica.connections).toBe(1);
  });

  it('finds the replica up if the maximum number of connections is open', async () => {
    await use(true);
    expect(await checkReplica()).toBe(false);
    expect(replica.connections).toBe(1);
  });

  it('finds that the replica is down while attempts wait for connections to it', async () => {
    await replica.stop();
    pool.submit(attemptOf(true));
    expect(await checkReplica()).toBe(true);
  });

  // A connection that was reset as it opened counted as refused, and so as a crash of the replica.
  it('finds a replica up that resets new connections', async () => {
    const seen: boolean[] = [];
    await observe(
      (socket) => socket.resetAndDestroy(),
      (resetting) => resetting.check((isDown) => seen.push(isDown)),
    );
    expect(seen).toEqual([false]);
  });

  it('finds that the replica is down', async () => {
    await replica.stop();
    expect(await checkReplica()).toBe(true);
  });
});

describe('a watched replica', () => {
  const watchReplica = (untilAt: number): boolean[] => {
    const seen: boolean[] = [];
    pool.watch(untilAt, (isDown) => seen.push(isDown));
    return seen;
  };

  it('gets a connection and is checked when that closes', async () => {
    const seen = watchReplica(1_000);
    await delay(20);
    expect([replica.connections, seen]).toEqual([1, [false]]);
    await replica.stop();
    await delay(20);
    expect(seen).toEqual([false, true]);
  });

  it('gets no further connection if one is open', async () => {
    await use(true);
    const seen = watchReplica(1_000);
    await replica.stop();
    await delay(20);
    expect([replica.connections, seen]).toEqual([1, [true]]);
  });

  it('is found to be down from the start', async () => {
    await replica.stop();
    const seen = watchReplica(1_000);
    await delay(20);
    expect(seen).toEqual([true]);
  });

  it('gets another connection when the last one is closed', async () => {
    await use(true);
    pool.submit(attemptOf(true));
    const seen = watchReplica(1_000);
    freed.at(-1)?.destroy();
    await delay(20);
    expect([replica.connections, seen]).toEqual([2, [false]]);
  });

  // Each connection that was closed led to the next one at once, thousands of them during one watch.
  it('gets few connections while it accepts and closes them at once', async () => {
    const { connections } = await observe(
      (socket) => socket.end(),
      (closing) => closing.watch(1_000, () => undefined),
    );
    expect(connections).toBeGreaterThan(1);
    expect(connections).toBeLessThan(10);
  });

  it('is not checked after the end of the watch', async () => {
    await use(true);
    const seen = watchReplica(1_000);
    now = 1_001;
    await replica.stop();
    await delay(20);
    expect(seen).toEqual([]);
  });
});
