import { describe, expect, it } from 'vitest';
import type { UnreadableProblem } from '../../src/gateway/model/request.js';
import { describeUnreadable } from '../../src/gateway/runtime/unreadable-request.js';
import { VirtualGateway } from './virtual-gateway.js';

const refuse = (gateway: VirtualGateway, problem: UnreadableProblem, at: number): void => {
  const refused = { problem, status: 400, detail: 'HPE_INVALID_METHOD', from: '10.0.0.1' };
  gateway.emit({ type: 'unreadable-refused', at, ...refused });
};

const linesOf = (gateway: VirtualGateway) =>
  gateway.effects.flatMap((effect) =>
    effect.type === 'write-log' && effect.change.event === 'request-unreadable'
      ? [effect.change]
      : [],
  );

describe('refusals of malformed input', () => {
  it('are all counted, and logged at most ten times a second for each problem', () => {
    const gateway = new VirtualGateway();
    for (let at = 0; at < 1_000; at += 1) {
      refuse(gateway, 'malformed', at);
    }
    refuse(gateway, 'cut-off', 999);
    refuse(gateway, 'malformed', 1_000);
    const lines = linesOf(gateway);
    const malformed = lines.filter(({ problem }) => problem === 'malformed');
    expect(malformed).toHaveLength(11);
    expect(lines).toHaveLength(12);
    expect(malformed.map(({ unlogged }) => unlogged)).toEqual([0, ...Array(10).fill(99)]);
    const counts = gateway.state.counters.requests
      .values()
      .map(({ labels, value }) => [labels['outcome'], value]);
    expect(counts).toEqual([
      ['malformed', 1_001],
      ['cut-off', 1],
    ]);
  });
});

describe('a connection error', () => {
  it.each([
    ['HPE_INVALID_METHOD', 'malformed', 400],
    ['HPE_CLOSED_CONNECTION', 'malformed', 400],
    ['HPE_INVALID_EOF_STATE', 'cut-off', 400],
    ['ERR_HTTP_REQUEST_TIMEOUT', 'headers-late', 408],
    ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 'chunk-extensions-too-large', 413],
    ['HPE_HEADER_OVERFLOW', 'headers-too-large', 431],
  ])('of the parser, %s, is refused as %s with status %i', (detail, problem, status) => {
    expect(describeUnreadable(detail)).toEqual({ problem, status, detail });
  });

  it.each(['ECONNRESET', 'EPIPE', undefined])('of the socket, %s, has no answer', (code) => {
    expect(describeUnreadable(code)).toBeUndefined();
  });
});
