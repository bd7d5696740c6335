import { describe, expect, it } from 'vitest';
import type { ReplicaAnswer } from '../../src/gateway/model/request.js';
import { isUsable, provesReplicaCanRun } from '../../src/gateway/requests/usable-answer.js';

const answerOf = (status: number, signature?: string): ReplicaAnswer => ({
  status,
  headers: [],
  body: Buffer.alloc(0),
  ...(signature !== undefined && { signature }),
});

const signed = (status: number): ReplicaAnswer => answerOf(status, 'signature');

describe('provesReplicaCanRun', () => {
  it('accepts a signed success and no unsigned one', () => {
    expect([true, false].map((isPart) => provesReplicaCanRun(signed(200), isPart))).toEqual([
      true,
      true,
    ]);
    expect(provesReplicaCanRun(answerOf(200), false)).toBe(false);
  });

  it('accepts signed redirections and client errors, except for parts of a gather', () => {
    expect([302, 404].map((status) => provesReplicaCanRun(signed(status), false))).toEqual([
      true,
      true,
    ]);
    expect([302, 404].map((status) => provesReplicaCanRun(signed(status), true))).toEqual([
      false,
      false,
    ]);
  });

  it.each([408, 421, 429, 500, 502, 503, 504])('rejects the refusal or failure %i', (status) => {
    expect([true, false].map((isPart) => provesReplicaCanRun(signed(status), isPart))).toEqual([
      false,
      false,
    ]);
  });
});

describe('isUsable', () => {
  it('accepts a signed success, and outside a gather also a client error that is passed on', () => {
    expect([200, 404, 500].map((status) => isUsable(signed(status), false))).toEqual([
      true,
      true,
      false,
    ]);
    expect([200, 404, 500].map((status) => isUsable(signed(status), true))).toEqual([
      true,
      false,
      false,
    ]);
    expect(isUsable(answerOf(200), true)).toBe(false);
  });
});
