import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { decodeCbor, encodeCbor } from '../../src/protocol/codec/cbor.js';
import { FrameReader } from '../../src/protocol/codec/frame-reader.js';
import {
  decodeDatagram,
  encodeDatagram,
  MAX_DATAGRAM_BYTES,
} from '../../src/protocol/codec/datagram.js';
import { FRAME_HEADER_BYTES, encodeFrame } from '../../src/protocol/codec/frame.js';
import { decodeLinkFrame, encodeLinkFrame } from '../../src/protocol/codec/link-frame.js';
import type {
  MembershipLinkMessage,
  MembershipMessage,
} from '../../src/protocol/membership-messages.js';
import { identifier } from '../../src/core/identifiers.js';
import type { LinkMessage } from '../../src/protocol/peer-message.js';
import { areEqual, SharedSecret } from '../../src/runtime/peer/shared-secret.js';

const SEED = 20_261_202;

const message = (value: object): LinkMessage => value as LinkMessage;

const CONTEXT = {
  request: 'q-1',
  partner: 'ensemble',
  route: 'season-roster',
  kind: 'page',
  snapshot: 7,
  safeToRepeat: true,
  maxItems: 10,
  payload: { any: ['thing', 1, null] },
};

const MESSAGES: readonly LinkMessage[] = [
  message({
    type: 'leg-batch',
    context: CONTEXT,
    remainingMs: 12.5,
    mayWait: true,
    legs: Array.from({ length: 64 }, (_, index) => ({
      attempt: `a-${index}`,
      shard: `s-${index}`,
      replica: `r-${index}`,
    })),
  }),
  message({
    type: 'leg-results',
    results: [
      {
        attempt: 'a-1',
        queuedMs: 0,
        serviceMs: 1.5,
        heldMs: 1.25,
        outcome: {
          type: 'answered',
          request: 'q-1',
          shard: 's-1',
          snapshot: 7,
          items: [{ id: 'x', score: 1, value: { deep: true } }],
          load: { inFlight: 1, queued: 0 },
        },
      },
      {
        attempt: 'a-2',
        queuedMs: 1,
        serviceMs: 0,
        outcome: { type: 'not-run', reason: 'shedding', retryAfterMs: 5 },
      },
    ],
  }),
  message({ type: 'leg-cancel', attempts: ['a-3'] }),
  message({ type: 'configuration-pull', after: 3 }),
  message({
    type: 'grant-request',
    limit: { row: 'ensemble/season-roster/page', bound: 'per-second' },
    asker: 'zone',
    asked: 'row',
    process: 17,
    demand: 1.5,
    used: 2,
    holds: 3,
    heldSequence: 4,
    sequence: 1_843_200_614_400_005,
  }),
  message({
    type: 'grant',
    limit: { row: 'ensemble/season-roster/page', bound: 'concurrent' },
    asker: 'node',
    amount: 4,
    sequence: 5,
    adopted: true,
    validMs: 7_920,
  }),
  message({ type: 'claim-reply', request: 'q-1', verdict: 'granted' }),
];

const PING = {
  type: 'ping',
  sender: {
    node: 'bole-1',
    zone: 'bole',
    region: 'addis',
    address: { host: '127.0.0.1', port: 1 },
    incarnation: 1_800_000_000_000,
  },
  sequence: 1,
  updates: [],
} as unknown as MembershipMessage;

const SENDER = PING.sender;

/** Typed without a cast, so that an incompatible change of the message types fails to compile. */
const MEMBER_TABLE_MESSAGES: readonly MembershipLinkMessage[] = [
  { type: 'membership-pull', sender: SENDER, buckets: [1, 2], after: -1 },
  { type: 'membership-pull', sender: SENDER, buckets: [], after: 77 },
  {
    type: 'membership-page',
    sender: SENDER,
    updates: [{ identity: { ...SENDER, node: identifier('arada-1') }, state: 'alive' }],
    next: 12,
  },
  { type: 'membership-page', sender: SENDER, updates: [] },
];

const bodyOf = (frame: Buffer): Buffer => frame.subarray(FRAME_HEADER_BYTES);

describe('link frames', () => {
  it('decode to the messages that were encoded', () => {
    const decoded = decodeLinkFrame(bodyOf(encodeLinkFrame(MESSAGES))).unsafeCoerce();
    expect(decoded).toEqual(MESSAGES);
  });

  it('decode to the encoded messages of a member table exchange', () => {
    const decoded = decodeLinkFrame(bodyOf(encodeLinkFrame(MEMBER_TABLE_MESSAGES))).unsafeCoerce();
    expect(decoded).toEqual(MEMBER_TABLE_MESSAGES);
  });

  it.each([
    ['an unknown type', { type: 'leg-steal' }],
    ['an inherited name as type', { type: 'toString' }],
    ['no type', {}],
    [
      'a leg without its shard',
      { type: 'leg-batch', context: CONTEXT, remainingMs: 1, legs: [{}] },
    ],
    [
      'a leg batch whose mayWait is not true',
      { type: 'leg-batch', context: CONTEXT, remainingMs: 1, mayWait: 'no', legs: [] },
    ],
    [
      'a string as remaining time',
      { type: 'leg-batch', context: CONTEXT, remainingMs: '1', legs: [] },
    ],
    [
      'an unknown reason',
      {
        type: 'leg-results',
        results: [
          {
            attempt: 'a',
            queuedMs: 0,
            serviceMs: 0,
            outcome: { type: 'not-run', reason: 'because' },
          },
        ],
      },
    ],
    ['a negative revision', { type: 'configuration-pull', after: -1 }],
    [
      'an object with unknown content',
      {
        type: 'configuration-push',
        after: 0,
        through: 1,
        objects: [{ name: 'x', version: 1, revision: 1, content: { type: 'secret' } }],
      },
    ],
    ['an unknown verdict', { type: 'claim-reply', request: 'q', verdict: 'maybe' }],
  ])('with %s are refused', (_name, value) => {
    expect(decodeLinkFrame(encodeCbor([value])).isLeft()).toBe(true);
  });

  it('of arbitrary bytes are refused or decoded without an exception', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        const decoded = decodeLinkFrame(bytes);
        expect(decoded.isLeft() || Array.isArray(decoded.extract())).toBe(true);
      }),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('with one byte changed, or truncated, are decoded without an exception', () => {
    const body = bodyOf(encodeLinkFrame(MESSAGES));
    fc.assert(
      fc.property(fc.nat(body.length - 1), fc.nat(255), (index, value) => {
        const changed = Buffer.from(body);
        changed[index] = value;
        decodeLinkFrame(changed);
        decodeLinkFrame(body.subarray(0, index));
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});

describe('the frame reader', () => {
  it('returns the same frames for any division into chunks', () => {
    const bodies = ['', 'a', 'bb'.repeat(300), 'c'].map((text) => Buffer.from(text));
    const stream = Buffer.concat(bodies.map(encodeFrame));
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1 }), (sizes) => {
        const reader = new FrameReader(1_000);
        const read: Buffer[] = [];
        let start = 0;
        for (let turn = 0; start < stream.length; turn += 1) {
          const end = start + (sizes[turn % sizes.length] ?? 1);
          const reading = reader.read(stream.subarray(start, end));
          read.push(...(reading.type === 'frames' ? reading.bodies : []));
          start = end;
        }
        expect(read.map(String)).toEqual(bodies.map(String));
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  it('keeps a frame that is too long until the preceding frames have been processed', () => {
    const reader = new FrameReader(8);
    const long = Buffer.alloc(20, 'x');
    const first = reader.read(Buffer.concat([encodeFrame(Buffer.alloc(5)), encodeFrame(long)]));
    expect(first).toEqual({ type: 'frames', bodies: [Buffer.alloc(5)], more: true });
    reader.maxBytes = 20;
    expect(reader.readBuffered()).toEqual({ type: 'frames', bodies: [long], more: false });
  });

  it('refuses a frame by its announced length, before it has arrived', () => {
    const reader = new FrameReader(8);
    expect(reader.read(encodeFrame(Buffer.alloc(9)).subarray(0, 4))).toEqual({
      type: 'oversized',
      length: 9,
    });
  });
});

describe('datagrams', () => {
  const secret = new SharedSecret('sixteen-characters');
  const otherSecret = new SharedSecret('another-sixteen-chars');

  it('decode to the message that was encoded', () => {
    const bytes = encodeDatagram(PING, secret.tagDatagram).unsafeCoerce();
    expect(decodeDatagram(bytes, secret.tagDatagram, areEqual).unsafeCoerce()).toEqual(PING);
  });

  it('are refused if signed with another secret, changed or truncated', () => {
    const bytes = encodeDatagram(PING, secret.tagDatagram).unsafeCoerce();
    const otherSecretBytes = encodeDatagram(PING, otherSecret.tagDatagram).unsafeCoerce();
    const changed = Buffer.from(bytes);
    changed[20] = (changed[20] ?? 0) ^ 1;
    for (const bad of [otherSecretBytes, changed, bytes.subarray(0, 30), bytes.subarray(0, 3)]) {
      expect(decodeDatagram(bad, secret.tagDatagram, areEqual).isLeft()).toBe(true);
    }
  });

  it('that are too long for one packet are not encoded', () => {
    const long = { ...PING, sender: { ...PING.sender, zone: 'z'.repeat(MAX_DATAGRAM_BYTES) } };
    expect(encodeDatagram(long as MembershipMessage, secret.tagDatagram).isLeft()).toBe(true);
  });
});

describe('CBOR', () => {
  it('is self-contained: the bytes depend on no earlier value', () => {
    const first = encodeCbor([{ a: 1, b: 2 }]);
    encodeCbor([{ c: 1 }, { c: 2 }]);
    expect(encodeCbor([{ a: 1, b: 2 }])).toEqual(first);
    expect(decodeCbor(first).unsafeCoerce()).toEqual([{ a: 1, b: 2 }]);
  });
});
