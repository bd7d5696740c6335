import { expect, it } from 'vitest';
import {
  decodePeerMessage,
  encodePeerMessage,
} from '../../src/gateway/runtime/peers/peer-codec.js';
import type {
  AnswerMessage,
  ReaderUpdateMessage,
  RequestMessage,
  PartsMessage,
  SubqueryMessage,
} from '../../src/gateway/runtime/peers/peer-message.js';
import { encodeCbor } from '../../src/protocol/codec/cbor.js';
import { gatherOf, routeTo } from './virtual-gateway.js';
import { configurationOf, replicaOf } from './virtual-store.js';

const newsOf = (news: ReaderUpdateMessage['news']): ReaderUpdateMessage => ({ type: 'news', news });

const PARTS: PartsMessage = {
  type: 'parts',
  id: 7,
  part: {
    shards: [{ service: 's0', signature: 'signed' }],
    records: Buffer.alloc(16),
    isFinal: true,
  },
};

it('decodes parts without a list of unsent shards', () => {
  const decoded = decodePeerMessage(encodePeerMessage(PARTS));
  const part = { ...PARTS.part, unsent: [] };
  expect(decoded.unsafeCoerce()).toEqual({ ...PARTS, part });
});

const SUBQUERY: SubqueryMessage = {
  type: 'subquery',
  id: 3,
  requestId: 'r-1',
  method: 'POST',
  path: '/a/b?c',
  headers: ['x-request-id', 'r-1'],
  body: Buffer.from('body'),
  subquery: {
    route: 'route',
    shards: ['s0', 's1'],
    maxRecords: 10,
    maxAttempts: 2,
    objectiveMs: 100.5,
    partsWithinMs: 70,
    deadlineMs: 800,
    isRepeat: true,
  },
};

it('decodes requests for tokens and their answers, and rejects malformed ones', () => {
  const request: RequestMessage = {
    type: 'request',
    id: 5,
    from: 'front-1',
    request: {
      type: 'tokens',
      tenant: 'acme',
      process: 17,
      sequence: 3,
      used: 4,
      unused: 1,
      returned: 1,
      returnLimit: 1_234.5,
      needed: 1,
      ahead: 2,
      rank: 1_002,
    },
  };
  const answer: AnswerMessage = {
    type: 'answer',
    id: 5,
    answer: {
      type: 'tokens',
      tenant: 'acme',
      sequence: 3,
      role: 'owner',
      granted: 1,
      ahead: 2,
      isRenewed: true,
      validMs: 3_000,
      returnLimit: 1_240.25,
      availableInMs: 0,
    },
  };
  for (const message of [request, answer]) {
    expect(decodePeerMessage(encodePeerMessage(message)).unsafeCoerce()).toEqual(message);
  }
  const malformed = { ...answer, answer: { ...answer.answer, granted: -1 } };
  expect(decodePeerMessage(encodePeerMessage(malformed)).isLeft()).toBe(true);
});

it('decodes subqueries with and without a body', () => {
  for (const message of [SUBQUERY, { ...SUBQUERY, body: null }]) {
    expect(decodePeerMessage(encodePeerMessage(message)).unsafeCoerce()).toEqual(message);
  }
});

it('rejects subqueries and parts of the wrong shape, and other lists', () => {
  const { subquery } = SUBQUERY;
  const wrong = [
    { ...SUBQUERY, subquery: { ...subquery, shards: [7] as unknown as string[] } },
    { ...SUBQUERY, subquery: { ...subquery, deadlineMs: Number.NaN } },
    { ...SUBQUERY, id: -1 },
  ];
  wrong.forEach((message) => {
    expect(decodePeerMessage(encodePeerMessage(message)).isLeft()).toBe(true);
  });
  [[], [1], [2, 1, ['s0'], []], [9, 1]].forEach((list) => {
    expect(decodePeerMessage(encodeCbor(list)).isLeft()).toBe(true);
  });
});

it('decodes parts with unsent shards', () => {
  const message = { ...PARTS, part: { ...PARTS.part, unsent: ['s1'] } };
  expect(decodePeerMessage(encodePeerMessage(message)).unsafeCoerce()).toMatchObject({
    part: { unsent: ['s1'] },
  });
});

it('rejects parts whose unsent shards are not strings', () => {
  const message = { ...PARTS, part: { ...PARTS.part, unsent: [1] as unknown as string[] } };
  expect(decodePeerMessage(encodePeerMessage(message)).isLeft()).toBe(true);
});

it('decodes reader updates of configurations, replicas and gateways', () => {
  const gateway = { name: 'g', zone: 'z', address: { host: 'h', port: 1 }, capacity: 1 };
  const route = routeTo(gatherOf(2, 0.5));
  const configuration = { ...configurationOf(3), routes: [route] };
  const messages = [
    newsOf({ type: 'status', isCurrent: true }),
    newsOf({
      type: 'snapshot',
      collection: 'configuration',
      objects: [{ name: 'main', gone: false, value: configuration }],
      revision: 9,
    }),
    newsOf({
      type: 'changes',
      collection: 'replicas',
      objects: [
        { name: 'r', gone: false, value: replicaOf('r', true) },
        { name: 'q', gone: true },
      ],
      after: 8,
      revision: 9,
    }),
    newsOf({
      type: 'changes',
      collection: 'gateways',
      objects: [
        { name: 'g', gone: false, value: gateway },
        { name: 'unreadable', gone: false },
      ],
      after: 8,
      revision: 9,
    }),
  ];
  for (const message of messages) {
    expect(decodePeerMessage(encodePeerMessage(message)).unsafeCoerce()).toEqual(message);
  }
});

it('rejects reader updates whose objects have the wrong shape', () => {
  const news = {
    type: 'changes',
    collection: 'replicas',
    objects: [{ name: 'r', gone: false, value: { id: 'r' } }],
    after: 8,
    revision: 9,
  } as unknown as ReaderUpdateMessage['news'];
  expect(decodePeerMessage(encodePeerMessage(newsOf(news))).isLeft()).toBe(true);
});

it('decodes subqueries for the trial of a blocked request, with and without regions', () => {
  const trial = { ...SUBQUERY.subquery, isTrial: true };
  for (const subquery of [trial, { ...trial, allowedRegions: ['addis'] }]) {
    const message = { ...SUBQUERY, subquery };
    expect(decodePeerMessage(encodePeerMessage(message)).unsafeCoerce()).toEqual(message);
  }
});

it('decodes parts of a request that crashed replicas', () => {
  const message = { ...PARTS, part: { ...PARTS.part, unsent: [], hasCrashed: true } };
  expect(decodePeerMessage(encodePeerMessage(message)).unsafeCoerce()).toEqual(message);
});

it('decodes updates about requests that crash replicas, and rejects those of the wrong shape', () => {
  const block = { level: 1, blockedMsAgo: 20.5, trialInMs: 59_000, trialLeftMs: 100 };
  const known = { fingerprint: '00ff', rounds: 3, crashedMsAgo: 21, servedMsAgo: 9_000, block };
  const message = {
    type: 'crashes',
    from: 'front-1',
    news: [known, { fingerprint: 'ff00', rounds: 0 }],
  } as const;
  expect(decodePeerMessage(encodePeerMessage(message)).unsafeCoerce()).toEqual(message);
  const wrong = [
    { ...known, fingerprint: 7 },
    { ...known, rounds: -1 },
    { ...known, block: { ...block, trialInMs: 'soon' } },
  ];
  wrong.forEach((each) => {
    expect(decodePeerMessage(encodeCbor({ ...message, news: [each] })).isLeft()).toBe(true);
  });
});
