import { describe, expect, it } from 'vitest';
import type { GatewayEffect, SendAttempt } from '../../src/gateway/effect.js';
import type { AttemptProblem } from '../../src/gateway/model/request.js';
import type { VirtualGateway } from './virtual-gateway.js';
import { gatheringGateway } from './virtual-gateway.js';

const breakConnection = (
  gateway: VirtualGateway,
  problem: AttemptProblem,
  mayHaveRun = true,
): void => {
  const [attempt] = gateway.sent;
  if (attempt !== undefined) {
    gateway.end(attempt, { type: 'failed', problem, mayHaveRun });
  }
};

const checked = ({ effects }: VirtualGateway): readonly string[] =>
  effects.flatMap((effect) => (effect.type === 'check-replica' ? [effect.replica.id] : []));

const crashLogs = ({ effects }: VirtualGateway): readonly GatewayEffect[] =>
  effects.filter(
    (effect) => effect.type === 'write-log' && effect.change.event === 'replica-crashed',
  );

describe('attempt whose connection breaks', () => {
  it.each(['reset', 'refused-connection', 'cut-off'] as const)(
    'triggers a check of its replica: %s',
    (problem) => {
      const gateway = gatheringGateway(2);
      gateway.request();
      breakConnection(gateway, problem);
      expect(checked(gateway)).toEqual([gateway.sent[0]?.replica.id]);
    },
  );

  it.each(['timed-out', 'aborted', 'foreign-answer'] as const)(
    'triggers no check of its replica: %s',
    (problem) => {
      const gateway = gatheringGateway(2);
      gateway.request();
      breakConnection(gateway, problem);
      expect(checked(gateway)).toEqual([]);
    },
  );

  it('is logged as a crash with its request once the check finds the replica down', () => {
    const gateway = gatheringGateway(2);
    gateway.request(900, false, 'print');
    breakConnection(gateway, 'reset');
    const replica = gateway.sent[0]?.replica.id ?? '';
    gateway.emit({ type: 'replica-checked', at: 1, replica, isDown: true });
    expect(crashLogs(gateway)).toMatchObject([
      { change: { replica, fingerprints: ['print'], requests: 1 } },
    ]);
  });

  it('is not logged as a crash where the replica accepts connections', () => {
    const gateway = gatheringGateway(2);
    gateway.request();
    breakConnection(gateway, 'reset');
    const replica = gateway.sent[0]?.replica.id ?? '';
    gateway.emit({ type: 'replica-checked', at: 1, replica, isDown: false });
    expect(crashLogs(gateway)).toEqual([]);
  });

  // Three such crashes in a row blocked a harmless request that replicas had answered in part each time.
  it('does not make its request suspected after another replica has answered a part of it', () => {
    const gateway = gatheringGateway(2);
    gateway.request(900, false, 'print');
    const [answering, crashing] = gateway.sent;
    if (answering === undefined || crashing === undefined) {
      throw new Error('two attempts were expected');
    }
    const answer = { status: 200, headers: [], body: Buffer.alloc(16), signature: 'signature' };
    gateway.end(answering, { type: 'answered', answer, closing: false });
    gateway.end(crashing, { type: 'failed', problem: 'reset', mayHaveRun: true });
    const replica = crashing.replica.id;
    gateway.emit({ type: 'replica-checked', at: 1, replica, isDown: true });
    expect(crashLogs(gateway)).toHaveLength(1);
    expect(gateway.state.crashes.histories.verdict('print', 1)).toBe('unsuspected');
  });
});

describe('request that is refused after two rounds of crashes', () => {
  const OTHER = {
    name: 'front-2',
    zone: 'arada',
    address: { host: '10.0.0.2', port: 1 },
    capacity: 1,
  };

  /** Crashes the replica of an attempt. */
  const crashReplica = (gateway: VirtualGateway, attempt: SendAttempt | undefined): void => {
    if (attempt !== undefined) {
      gateway.now += 1;
      gateway.end(attempt, { type: 'failed', problem: 'reset', mayHaveRun: true });
      const replica = attempt.replica.id;
      gateway.emit({ type: 'replica-checked', at: gateway.now, replica, isDown: true });
    }
  };

  it('is published to other gateways before its caller is answered', () => {
    const gateway = gatheringGateway(2);
    gateway.listGateways([OTHER]);
    gateway.request(900, false, 'print');
    const [first, second] = gateway.sent;
    crashReplica(gateway, first);
    crashReplica(gateway, second);
    crashReplica(gateway, gateway.sent.at(-1));
    const types = gateway.effects.map(({ type }) => type);
    const publishedIndex = types.indexOf('send-crash-updates');
    expect(types.indexOf('answer-caller')).toBeGreaterThan(publishedIndex);
    expect(publishedIndex).toBeGreaterThan(-1);
  });
});
