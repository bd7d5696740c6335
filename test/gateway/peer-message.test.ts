import { expect, it } from 'vitest';
import type { GatewayConfiguration } from '../../src/gateway/model/route.js';
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
import { packParts, unpackMessage } from '../../src/gateway/runtime/peers/pack-message.js';
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

const TENANT = {
  name: 'bulk',
  keyDigests: ['digest'],
  priority: 1,
  limit: { ratePerSecond: 0.05, burst: 0 },
  allowedRegions: ['addis'],
};

const newsWith = (configuration: unknown): ReaderUpdateMessage =>
  newsOf({
    type: 'snapshot',
    collection: 'configuration',
    objects: [{ name: 'main', gone: false, value: configuration as GatewayConfiguration }],
    revision: 9,
  });

it('decodes a configuration with tenants and anonymous routes', () => {
  const configuration = {
    ...configurationOf(3, [routeTo(gatherOf(2, 0.5), { anonymous: true })]),
    tenants: [TENANT, { name: 'small', keyDigests: [] }],
  };
  const message = newsWith(configuration);
  expect(decodePeerMessage(encodePeerMessage(message)).unsafeCoerce()).toEqual(message);
});

it.each<readonly [string, unknown]>([
  ['tenants that are no list', 'bulk'],
  ['tenants that are null', null],
  ['a tenant without a name', [{ ...TENANT, name: undefined }]],
  ['a tenant without digests', [{ ...TENANT, keyDigests: undefined }]],
  ['a digest of another type', [{ ...TENANT, keyDigests: [7] }]],
  ['a priority of another type', [{ ...TENANT, priority: 'high' }]],
  ['a limit without a burst', [{ ...TENANT, limit: { ratePerSecond: 1 } }]],
  ['a rate that is not finite', [{ ...TENANT, limit: { ratePerSecond: Infinity, burst: 0 } }]],
  ['regions of another type', [{ ...TENANT, allowedRegions: 'addis' }]],
])('rejects a configuration with %s', (_case, tenants) => {
  const message = newsWith({ ...configurationOf(3), tenants });
  expect(decodePeerMessage(encodePeerMessage(message)).isLeft()).toBe(true);
});

it('rejects a route whose flag for anonymous requests has another type', () => {
  const route = { ...routeTo(gatherOf(2, 0.5)), anonymous: 'no' };
  const message = newsWith({ ...configurationOf(3), routes: [route] });
  expect(decodePeerMessage(encodePeerMessage(message)).isLeft()).toBe(true);
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
  const numbers = { answers: 2, clearedRounds: 1, trials: 4 };
  const known = {
    fingerprint: '00ff',
    rounds: 3,
    crashedMsAgo: 21,
    servedMsAgo: 9_000,
    ...numbers,
    block,
  };
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

const PACKED_PARTS = 7;

it('decodes parts with dropped shards and expected waits', () => {
  const part = {
    ...PARTS.part,
    unsent: [],
    dropped: ['s1'],
    waits: [
      { service: 's0', rank: 0, waitMs: 12 },
      { service: 's0', rank: 1_001, waitMs: 340 },
    ],
  };
  const decoded = decodePeerMessage(encodePeerMessage({ ...PARTS, part }));
  expect(decoded.unsafeCoerce()).toEqual({ ...PARTS, part });
});

it('packs parts without waits as earlier builds do, and waits behind all fields that those read', () => {
  expect(packParts(PARTS)).toHaveLength(PACKED_PARTS);
  const waits = [{ service: 's0', rank: 0, waitMs: 12 }];
  const packed = packParts({ ...PARTS, part: { ...PARTS.part, waits } });
  expect(packed.slice(0, PACKED_PARTS)).toEqual(packParts(PARTS));
  expect(packed.slice(PACKED_PARTS)).toEqual([false, [], ['s0', 0, 12]]);
});

it('rejects waits of the wrong shape', () => {
  const packed = packParts(PARTS);
  for (const waits of [['s0', 0], ['s0', 0, 'x'], [1, 0, 2], 'waits']) {
    expect(unpackMessage([...packed, false, [], waits])).toBeUndefined();
  }
});

// A reader of an earlier build sent addresses that it had not checked, and they ended its followers.
it.each([
  ['127.0.0.1', 70_000],
  ['127.0.0.1', 0],
  ['999.1.1.1', 80],
  ['1..2', 80],
  ['a/b', 80],
  ['', 80],
])('decodes reader updates without objects at %s port %d', (host, port) => {
  const replicas = [replicaOf('sound'), { ...replicaOf('odd'), host, port }];
  const gateway = { name: 'odd', zone: 'z', address: { host, port }, capacity: 1 };
  const update = { type: 'changes', after: 8, revision: 9 } as const;
  const objects = replicas.map((value) => ({ name: value.id, gone: false, value }));
  const ofReplicas = newsOf({ ...update, collection: 'replicas', objects });
  const ofGateways = newsOf({
    ...update,
    collection: 'gateways',
    objects: [{ name: 'odd', gone: false, value: gateway }],
  });
  const valuesOf = (message: ReaderUpdateMessage): readonly unknown[] => {
    const { news } = decodePeerMessage(encodePeerMessage(message)).unsafeCoerce() as typeof message;
    return news.type === 'status' ? [] : news.objects.map(({ value }) => value);
  };
  expect(valuesOf(ofReplicas)).toEqual([replicaOf('sound'), undefined]);
  expect(valuesOf(ofGateways)).toEqual([undefined]);
});
