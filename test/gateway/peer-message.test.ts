import { expect, it } from 'vitest';
import {
  decodePeerMessage,
  encodePeerMessage,
  type NewsMessage,
  type PartsMessage,
} from '../../src/gateway/runtime/peers/peer-message.js';
import { gatherOf, routeTo } from './virtual-gateway.js';
import { configurationOf, replicaOf } from './virtual-store.js';

const newsOf = (news: NewsMessage['news']): NewsMessage => ({ type: 'news', news });

const PARTS: PartsMessage = {
  type: 'parts',
  id: 7,
  part: {
    shards: [{ service: 's0', signature: 'signed' }],
    records: Buffer.alloc(16),
    isFinal: true,
  },
};

it('takes parts of a feeder that does not tell which shards it sent to nobody', () => {
  const decoded = decodePeerMessage(encodePeerMessage(PARTS));
  expect(decoded.unsafeCoerce()).toMatchObject({ type: 'parts', id: 7, part: { isFinal: true } });
});

it('takes parts that name unsent shards', () => {
  const message = { ...PARTS, part: { ...PARTS.part, unsent: ['s1'] } };
  expect(decodePeerMessage(encodePeerMessage(message)).unsafeCoerce()).toMatchObject({
    part: { unsent: ['s1'] },
  });
});

it('refuses parts whose unsent shards are no names', () => {
  const message = { ...PARTS, part: { ...PARTS.part, unsent: [1] as unknown as string[] } };
  expect(decodePeerMessage(encodePeerMessage(message)).isLeft()).toBe(true);
});

it('takes what a reader tells of configurations, replicas and gateways', () => {
  const gateway = { name: 'g', zone: 'z', address: { host: 'h', port: 1 }, capacity: 1 };
  const route = routeTo(gatherOf(2, 0.5));
  const configuration = { ...configurationOf(3), routes: [route] };
  const messages = [
    newsOf({ type: 'currency', isCurrent: true }),
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

it('refuses news whose objects have the wrong shape', () => {
  const news = {
    type: 'changes',
    collection: 'replicas',
    objects: [{ name: 'r', gone: false, value: { id: 'r' } }],
    after: 8,
    revision: 9,
  } as unknown as NewsMessage['news'];
  expect(decodePeerMessage(encodePeerMessage(newsOf(news))).isLeft()).toBe(true);
});
