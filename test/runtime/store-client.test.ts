import type { ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { Event } from '../../src/core/event.js';
import { identifier, type StoreRequestId } from '../../src/core/identifiers.js';
import { createMonotonicClock } from '../../src/runtime/monotonic-clock.js';
import { StoreClient } from '../../src/runtime/store/store-client.js';
import { type FakePlatform, startFakePlatform } from './fake-platform.js';
import { createMemoryLog, storeContents, until } from './node-fixture.js';

const CONTENTS = storeContents([7_001]);
const REQUEST = identifier<StoreRequestId>('r-1');

let platform: FakePlatform;
let client: StoreClient;
let events: Event[];
let lines: string[];

beforeEach(async () => {
  platform = await startFakePlatform(CONTENTS);
  events = [];
  const memory = createMemoryLog();
  lines = memory.lines;
  client = new StoreClient({
    platform: platform.url,
    sink: { emit: (event) => events.push(event) },
    clock: createMonotonicClock(),
    log: memory.log,
  });
});

afterEach(() => {
  client.destroy();
  platform.close();
});

const eventsOf = <Type extends Event['type']>(type: Type): Extract<Event, { type: Type }>[] =>
  events.filter((event): event is Extract<Event, { type: Type }> => event.type === type);

const receivedNames = (): string[] =>
  eventsOf('store-changed').flatMap((event) => event.objects.map((object) => object.name));

/** Answers the next request to a path that starts with `prefix` by `respond`. */
const answerOnce = (prefix: string, respond: (response: ServerResponse) => void): void => {
  platform.override = (path, response) => {
    if (!path.startsWith(prefix)) {
      return false;
    }
    platform.override = undefined;
    respond(response);
    return true;
  };
};

const objectText = (changes: object = {}): string => {
  const [content] = CONTENTS;
  const object = { name: 'sheet/ensemble', version: 1, revision: 1, content };
  return JSON.stringify({ ...object, ...changes });
};

describe('the watch of the store', () => {
  it('delivers all objects, then each change', async () => {
    client.watchStore(0);
    await until(() => new Set(receivedNames()).size === CONTENTS.length, 'all objects are read');
    CONTENTS.slice(0, 1).forEach((content) => platform.put(content));
    const revision = CONTENTS.length + 1;
    await until(
      () => eventsOf('store-changed').some((event) => event.through === revision),
      'the change has arrived',
    );
  });

  it('reports a closed connection once and restarts at the given revision', async () => {
    client.watchStore(0);
    await until(() => platform.requests.includes('GET /v1/watch'), 'the watch is open');
    await until(() => eventsOf('store-changed').length === 2, 'the first line is read');
    platform.cut();
    CONTENTS.slice(0, 1).forEach((content) => platform.put(content));
    await until(() => eventsOf('store-failed').length === 1, 'the closed connection is reported');
    client.watchStore(CONTENTS.length);
    await until(() => eventsOf('store-changed').length === 3, 'the watch is open again');
    expect(eventsOf('store-failed')).toHaveLength(1);
    expect(eventsOf('store-changed')[2]).toMatchObject({
      after: CONTENTS.length,
      through: CONTENTS.length + 1,
      objects: [{ name: 'sheet/ensemble', version: 2 }],
    });
  });

  it('reads all objects if the store no longer has the changes', async () => {
    answerOnce('/v1/watch', (response) => response.writeHead(410).end());
    client.watchStore(2);
    await until(() => receivedNames().length > 0, 'the objects are read');
    expect(eventsOf('store-changed')[0]).toMatchObject({ after: 2, through: CONTENTS.length });
  });

  it('omits and logs an object of unexpected shape, and delivers the others', async () => {
    const bad = { name: 'keys/ensemble', version: 1, revision: 2, content: { type: 'keys' } };
    answerOnce('/v1/objects', (response) =>
      response.end(`{"revision":2,"objects":[${objectText()},${JSON.stringify(bad)}]}`),
    );
    client.watchStore(0);
    await until(() => eventsOf('store-changed').length > 0, 'the objects are read');
    expect(eventsOf('store-changed')[0]?.objects.map(({ name }) => name)).toEqual([
      'sheet/ensemble',
    ]);
    expect(lines.some((line) => line.includes('Object keys/ensemble is refused'))).toBe(true);
  });

  it.each([
    ['a line that is not JSON', (response: ServerResponse) => response.write('hello\n')],
    ['a line of unexpected shape', (response: ServerResponse) => response.write('{"after":"x"}\n')],
    ['status 500', (response: ServerResponse) => response.writeHead(500).end()],
  ])('reports %s and can be started again', async (_name, respond) => {
    answerOnce('/v1/watch', respond);
    client.watchStore(1);
    await until(() => eventsOf('store-failed').length === 1, 'the failure is reported');
    client.watchStore(1);
    await until(() => eventsOf('store-changed').length > 0, 'the watch is open again');
  });

  it('connects once for each start, at once, and reports each failure once', async () => {
    platform.override = (_path, response) => {
      response.destroy();
      return true;
    };
    client.watchStore(1);
    await until(() => eventsOf('store-failed').length === 1, 'the failure is reported');
    await delay(1_000);
    for (let starts = 2; starts <= 5; starts += 1) {
      expect(platform.requests).toHaveLength(starts - 1);
      client.watchStore(1);
      await until(() => eventsOf('store-failed').length === starts, 'the failure is reported');
    }
    platform.override = undefined;
    client.watchStore(1);
    await until(() => eventsOf('store-changed').length > 0, 'the watch is open again');
    expect(platform.requests).toHaveLength(6);
    expect(eventsOf('store-failed')).toHaveLength(5);
  });
});

describe('a request for one object', () => {
  const read = (): void =>
    client.readObject({
      type: 'read-object',
      request: REQUEST,
      name: identifier('sheet/ensemble'),
    });

  const write = (): void => {
    const [content] = CONTENTS;
    if (content !== undefined) {
      client.writeObject({
        type: 'write-object',
        request: REQUEST,
        name: identifier('sheet/ensemble'),
        expectedVersion: 1,
        content,
      });
    }
  };

  const onlyEvent = async (): Promise<Event | undefined> => {
    await until(() => events.length > 0, 'the request has ended');
    expect(events).toHaveLength(1);
    return events[0];
  };

  it('returns the object, or reports that it does not exist', async () => {
    answerOnce('/v1/objects/', (response) => response.end(objectText()));
    read();
    expect(await onlyEvent()).toMatchObject({ type: 'object-read', object: { version: 1 } });
    events.length = 0;
    read();
    expect(await onlyEvent()).not.toHaveProperty('object');
  });

  it('reports that a write was accepted or refused', async () => {
    answerOnce('/v1/objects/', (response) => response.end('{"version":2,"revision":9}'));
    write();
    expect(await onlyEvent()).toMatchObject({ type: 'object-written', version: 2, revision: 9 });
    events.length = 0;
    answerOnce('/v1/objects/', (response) => response.writeHead(409).end('{"version":5}'));
    write();
    expect(await onlyEvent()).toMatchObject({ type: 'object-write-refused', version: 5 });
  });

  it.each([
    ['a lost answer', (response: ServerResponse) => response.destroy()],
    ['status 500', (response: ServerResponse) => response.writeHead(500).end()],
    ['a body that is not JSON', (response: ServerResponse) => response.end('fine')],
    ['a body of unexpected shape', (response: ServerResponse) => response.end('{"version":"two"}')],
  ])('is reported as failed once after %s', async (_name, respond) => {
    answerOnce('/v1/objects/', respond);
    write();
    expect(await onlyEvent()).toMatchObject({ type: 'object-request-failed', request: REQUEST });
  });

  it('returns the machine list without machines of unexpected shape', async () => {
    const machine = { id: 'm', host: '127.0.0.1', port: 1, zone: 'bole', state: 'live' };
    answerOnce('/v1/machines', (response) =>
      response.end(JSON.stringify({ machines: [machine, { ...machine, port: 'x' }] })),
    );
    client.readMachines();
    expect(await onlyEvent()).toMatchObject({ type: 'machines-read', machines: [machine] });
  });
});
