import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RawReplica } from '../gateway/raw-replica.js';
import {
  addEndlessReplica,
  type EndlessAnswer,
  ENDLESS_ANSWERS,
  listReplica,
  sendWithoutEnd,
} from './endless-replica.js';
import { type CallerAnswer, GatewayFixture } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';

const TEST_TIMEOUT_MS = 30_000;

/** Requests sent, and the interval between two of them in milliseconds. */
const REQUESTS = 100;
const INTERVAL_MS = 25;

/** Callers may lose this many of the requests that may be repeated. */
const MAX_LOST = 2;

const BUDGET_MS = 3_000;

let fixture: GatewayFixture;
const endless: RawReplica[] = [];

beforeEach(async () => {
  fixture = await GatewayFixture.create();
});

afterEach(async () => {
  await fixture.stop();
  await Promise.all(endless.splice(0).map((replica) => replica.stop()));
});

const configure = (kind = 'safe'): void => {
  const route = { path_prefix: '/one/', service: 'desk', timeout_ms: BUDGET_MS, kind };
  fixture.configure([routeSpec(route)], ['desk']);
};

const answerNamed = (name: string): EndlessAnswer => {
  const answer = ENDLESS_ANSWERS[name];
  if (answer === undefined) {
    throw new Error(`there is no endless answer ${name}`);
  }
  return answer;
};

const addEndless = async (id: string, name: string): Promise<RawReplica> => {
  const replica = await addEndlessReplica(fixture, id, 'desk', answerNamed(name));
  endless.push(replica);
  return replica;
};

const sendAll = async (count: number, intervalMs: number): Promise<readonly CallerAnswer[]> => {
  const sent: Promise<CallerAnswer>[] = [];
  for (let index = 0; index < count; index += 1) {
    sent.push(fixture.request({ id: `r-${index}`, path: '/one/', budgetMs: BUDGET_MS }));
    await delay(intervalMs);
  }
  return Promise.all(sent);
};

const NAMES = Object.keys(ENDLESS_ANSWERS);

describe('a replica that sends bytes without end', { timeout: TEST_TIMEOUT_MS }, () => {
  // Bytes that are no answer counted as a full replica, which was tried again and again until the retry budget was spent.
  it.each(NAMES)('is judged as failing, and callers are served by others: %s', async (name) => {
    fixture.settings = {
      ...fixture.settings,
      bounds: { ...fixture.settings.bounds, retrySlack: 20 },
    };
    configure();
    await fixture.addReplica('desk-1', 'desk', { workMs: 20 });
    await fixture.addReplica('desk-2', 'desk', { workMs: 20 });
    const bad = await addEndless('desk-3', name);
    await fixture.serve();
    const answers = await sendAll(REQUESTS, INTERVAL_MS);
    expect(answers.filter(({ status }) => status !== 200).length).toBeLessThanOrEqual(MAX_LOST);
    expect(bad.requests.length).toBeLessThan(REQUESTS / 10);
  });

  // An attempt lasted until the deadline while its replica sent as fast as it could.
  it.each(NAMES)(
    'is given up long before the deadline, and the truth is told: %s',
    async (name) => {
      configure('unsafe');
      const bad = await addEndless('desk-1', name);
      await fixture.serve();
      const { status, elapsedMs } = await fixture.request({
        id: 'r-1',
        path: '/one/',
        method: 'POST',
        budgetMs: BUDGET_MS,
      });
      expect(status).toBe(502);
      expect(elapsedMs).toBeLessThan(BUDGET_MS / 2);
      expect(bad.requests).toHaveLength(1);
    },
  );

  it('is used again once it is sound', async () => {
    configure();
    let isSound = false;
    const answer = answerNamed('header lines');
    const head = 'HTTP/1.1 200 OK\r\nx-server-stamp: s-1\r\ncontent-length: 0\r\n\r\n';
    const serve = (socket: Socket): void => {
      if (isSound) {
        socket.write(head);
      } else {
        sendWithoutEnd(socket, answer);
      }
    };
    const replica = await RawReplica.start(serve);
    endless.push(replica);
    listReplica(fixture, 'desk-1', 'desk', replica.address);
    await fixture.addReplica('desk-2', 'desk');
    await fixture.serve();
    await sendAll(20, INTERVAL_MS);
    isSound = true;
    const before = replica.requests.length;
    await delay(1_000);
    await sendAll(REQUESTS, INTERVAL_MS);
    expect(replica.requests.length - before).toBeGreaterThan(REQUESTS / 10);
  });
});
