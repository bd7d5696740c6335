import { expect, it } from 'vitest';
import {
  decodePeerMessage,
  encodePeerMessage,
  type PartsMessage,
} from '../../src/gateway/runtime/peers/peer-message.js';

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
