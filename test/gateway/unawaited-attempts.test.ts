import { describe, expect, it } from 'vitest';
import type { GatewayEffect, WatchReplica } from '../../src/gateway/effect.js';
import type { AttemptProblem, AttemptResult, CallId } from '../../src/gateway/model/request.js';
import { gatheringGateway, gatherOf, routeTo, VirtualGateway } from './virtual-gateway.js';

const BUDGET_MS = 900;

/** Time for which a replica is watched. */
const WATCH_MS = 5_000;

const failed = (problem: AttemptProblem, mayHaveRun = true): AttemptResult => ({
  type: 'failed',
  problem,
  mayHaveRun,
});

const answered: AttemptResult = {
  type: 'answered',
  answer: { status: 200, headers: [], body: Buffer.alloc(16), signature: 'signature' },
  closing: false,
};

const leave = (gateway: VirtualGateway, call: CallId): void =>
  gateway.emit({ type: 'caller-left', at: gateway.now, call });

const watches = ({ effects }: VirtualGateway): readonly WatchReplica[] =>
  effects.filter((effect): effect is WatchReplica => effect.type === 'watch-replica');

const crashLogs = ({ effects }: VirtualGateway): readonly GatewayEffect[] =>
  effects.filter(
    (effect) => effect.type === 'write-log' && effect.change.event === 'replica-crashed',
  );

/** The caller leaves, and the only attempt ends with `problem`; by default the gateway has closed its connection. */
const abandonAttempt = (problem: AttemptProblem = 'aborted', mayHaveRun = true): VirtualGateway => {
  const gateway = gatheringGateway(1);
  leave(gateway, gateway.request(BUDGET_MS, false, 'print'));
  gateway.sent.forEach((attempt) => gateway.end(attempt, failed(problem, mayHaveRun)));
  return gateway;
};

const reportReplicaDown = (gateway: VirtualGateway, at: number): void => {
  const replica = gateway.sent[0]?.replica.id ?? '';
  gateway.emit({ type: 'replica-checked', at, replica, isDown: true });
};

const verdictOf = ({ state, now }: VirtualGateway): string =>
  state.crashes.histories.verdict('print', now);

describe('an attempt that is no longer awaited', () => {
  it.each(['aborted', 'timed-out', 'foreign-answer', 'bad-answer'] as const)(
    'causes its replica to be watched: %s',
    (problem) => {
      const gateway = abandonAttempt(problem);
      const [attempt] = gateway.sent;
      expect(watches(gateway)).toMatchObject([{ replica: attempt?.replica, untilAt: WATCH_MS }]);
    },
  );

  it('does not cause its replica to be watched when it was not sent', () => {
    expect(watches(abandonAttempt('aborted', false))).toEqual([]);
  });

  it('does not cause its replica to be watched when another replica has sent a part', () => {
    const gateway = gatheringGateway(2);
    const call = gateway.request(BUDGET_MS);
    const [first, second] = gateway.sent;
    if (first !== undefined && second !== undefined) {
      gateway.end(first, answered);
      leave(gateway, call);
      gateway.end(second, failed('aborted'));
    }
    expect(watches(gateway)).toEqual([]);
  });

  // A hedge that was refused ended the request, and the crash of the replica that ran it went unseen.
  it('causes its replica to be watched when another replica has only refused the request', () => {
    const gateway = new VirtualGateway();
    gateway.configure(1, [routeTo({ type: 'service', service: 's0' }, { objectiveMs: 100 })]);
    gateway.listReplicas(['s0']);
    gateway.request(BUDGET_MS);
    gateway.advanceTo(90);
    const [running, hedge] = gateway.sent;
    if (running === undefined || hedge === undefined) {
      throw new Error('an attempt and its hedge were expected');
    }
    const answer = { status: 429, headers: [], body: Buffer.alloc(0) };
    gateway.end(hedge, { type: 'answered', answer, closing: false });
    gateway.end(running, failed('aborted'));
    expect(watches(gateway)).toMatchObject([{ replica: running.replica }]);
  });

  it('counts as a crash of its request when the replica is found down, and is logged', () => {
    const gateway = abandonAttempt();
    reportReplicaDown(gateway, 100);
    expect(verdictOf(gateway)).toBe('suspected');
    expect(crashLogs(gateway)).toMatchObject([
      { change: { fingerprints: ['print'], requests: 1, unawaited: 1 } },
    ]);
  });

  it('does not count when the replica is found down after the watch period', () => {
    const gateway = abandonAttempt();
    reportReplicaDown(gateway, WATCH_MS + 1);
    expect(verdictOf(gateway)).toBe('unsuspected');
    expect(crashLogs(gateway)).toEqual([]);
  });

  it('does not count when the replica was draining', () => {
    const gateway = abandonAttempt();
    const replica = gateway.state.replicas.find(gateway.sent[0]?.replica.id ?? '');
    if (replica !== undefined) {
      gateway.state.replicas.put({ ...replica.record, draining: true }, 50);
    }
    reportReplicaDown(gateway, 100);
    expect(verdictOf(gateway)).toBe('unsuspected');
  });
});

describe('an attempt of a request that may crash replicas', () => {
  it('gets 400 ms to end after its caller has left, since its end shows whether it crashes the replica', () => {
    const gateway = abandonAttempt();
    reportReplicaDown(gateway, 10);
    leave(gateway, gateway.request(BUDGET_MS, false, 'print'));
    const aborts = gateway.effects.filter(({ type }) => type === 'abort-attempt');
    expect(aborts.map((abort) => abort.type === 'abort-attempt' && abort.withinMs)).toEqual([
      0, 400,
    ]);
  });
});

describe('a call of a suspected request whose caller has left', () => {
  /** The second call's attempt ends with `result`, and a third call arrives. */
  const repeatAfter = (result: AttemptResult): VirtualGateway => {
    const gateway = abandonAttempt();
    reportReplicaDown(gateway, 10);
    leave(gateway, gateway.request(BUDGET_MS, false, 'print'));
    const [, attempt] = gateway.sent;
    if (attempt !== undefined) {
      gateway.end(attempt, result);
    }
    gateway.request(BUDGET_MS, false, 'print');
    return gateway;
  };

  it('delays the next call while its attempt is inconclusive', () => {
    expect(repeatAfter(failed('aborted')).sent).toHaveLength(2);
  });

  it('lets the next call be sent at once when a replica has answered it', () => {
    expect(repeatAfter(answered).sent).toHaveLength(3);
  });
});

describe('a replica that restarts before it is checked', () => {
  const firstReplicaOf = (gateway: VirtualGateway): string => gateway.sent[0]?.replica.id ?? '';

  it('counts as crashed when another replica answers at its address', () => {
    const gateway = new VirtualGateway();
    gateway.configure(1, [routeTo(gatherOf(1, 0.5))]);
    gateway.listReplicas(['s0'], ['bole']);
    leave(gateway, gateway.request(BUDGET_MS, false, 'print'));
    gateway.sent.forEach((attempt) => gateway.end(attempt, failed('aborted')));
    gateway.request(BUDGET_MS, false, 'other');
    const [, asked] = gateway.sent;
    if (asked !== undefined) {
      gateway.end(asked, { type: 'refused', reason: 'wrong-instance' });
    }
    expect(verdictOf(gateway)).toBe('suspected');
  });

  it('counts as crashed when its entry reports a later start', () => {
    const gateway = abandonAttempt();
    const record = gateway.state.replicas.find(firstReplicaOf(gateway))?.record;
    const list = (bornAt: number, revision: number): void => {
      const objects = [
        {
          name: firstReplicaOf(gateway),
          gone: false,
          ...(record && { value: { ...record, bornAt } }),
        },
      ];
      const changes = { collection: 'replicas', objects, revision } as const;
      gateway.emit({ type: 'changes-read', at: gateway.now, changes });
    };
    list(1_000, 11);
    expect(verdictOf(gateway)).toBe('unsuspected');
    list(2_000, 12);
    expect(verdictOf(gateway)).toBe('suspected');
  });

  it('stays watched when it accepts connections after one of them broke', () => {
    const gateway = gatheringGateway(1);
    gateway.request(BUDGET_MS, false, 'print');
    gateway.sent.forEach((attempt) => gateway.end(attempt, failed('reset')));
    gateway.emit({
      type: 'replica-checked',
      at: 5,
      replica: firstReplicaOf(gateway),
      isDown: false,
    });
    expect(watches(gateway).map(({ replica }) => replica.id)).toEqual([firstReplicaOf(gateway)]);
    reportReplicaDown(gateway, 200);
    expect(verdictOf(gateway)).toBe('suspected');
  });
});
