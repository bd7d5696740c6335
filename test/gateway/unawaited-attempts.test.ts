import { describe, expect, it } from 'vitest';
import type { GatewayEffect, WatchReplica } from '../../src/gateway/effect.js';
import type { AttemptProblem, AttemptResult, CallId } from '../../src/gateway/model/request.js';
import { gatheringGateway, gatherOf, routeTo, VirtualGateway } from './virtual-gateway.js';

const BUDGET_MS = 900;

/** A replica is watched for so long. */
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

/** A caller leaves, and the only attempt ends as if the gateway had closed its connection. */
const giveUpOne = (problem: AttemptProblem = 'aborted', mayHaveRun = true): VirtualGateway => {
  const gateway = gatheringGateway(1);
  leave(gateway, gateway.request(BUDGET_MS, false, 'print'));
  gateway.sent.forEach((attempt) => gateway.end(attempt, failed(problem, mayHaveRun)));
  return gateway;
};

const checkFirst = (gateway: VirtualGateway, at: number): void => {
  const replica = gateway.sent[0]?.replica.id ?? '';
  gateway.emit({ type: 'replica-checked', at, replica, isDown: true });
};

const verdictOf = ({ state, now }: VirtualGateway): string =>
  state.crashes.histories.verdict('print', now);

describe('an attempt that is no longer waited for', () => {
  it.each(['aborted', 'timed-out', 'foreign-answer', 'bad-answer'] as const)(
    'has its replica watched: %s',
    (problem) => {
      const gateway = giveUpOne(problem);
      const [attempt] = gateway.sent;
      expect(watches(gateway)).toMatchObject([{ replica: attempt?.replica, untilAt: WATCH_MS }]);
    },
  );

  it('does not where it was not sent', () => {
    expect(watches(giveUpOne('aborted', false))).toEqual([]);
  });

  it('does not where a replica has sent another part', () => {
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

  it('counts for its request when the replica is found to have ended, and is logged', () => {
    const gateway = giveUpOne();
    checkFirst(gateway, 100);
    expect(verdictOf(gateway)).toBe('suspected');
    expect(crashLogs(gateway)).toMatchObject([
      { change: { fingerprints: ['print'], requests: 1, unawaited: 1 } },
    ]);
  });

  it('does not count where the replica ends much later', () => {
    const gateway = giveUpOne();
    checkFirst(gateway, WATCH_MS + 1);
    expect(verdictOf(gateway)).toBe('unsuspected');
    expect(crashLogs(gateway)).toEqual([]);
  });

  it('does not count where the replica was going to end', () => {
    const gateway = giveUpOne();
    const replica = gateway.state.replicas.find(gateway.sent[0]?.replica.id ?? '');
    if (replica !== undefined) {
      gateway.state.replicas.put({ ...replica.record, draining: true }, 50);
    }
    checkFirst(gateway, 100);
    expect(verdictOf(gateway)).toBe('unsuspected');
  });
});

describe('an attempt of a request under which replicas may end', () => {
  it('is waited for longer than its caller waits: its end shows whether they do', () => {
    const gateway = giveUpOne();
    checkFirst(gateway, 10);
    leave(gateway, gateway.request(BUDGET_MS, false, 'print'));
    const aborts = gateway.effects.filter(({ type }) => type === 'abort-attempt');
    expect(aborts.map((abort) => abort.type === 'abort-attempt' && abort.withinMs)).toEqual([
      0, 400,
    ]);
  });
});

describe('a try of a request under which replicas may end, whose caller has left', () => {
  /** The second try has ended so, and a third one has come. */
  const tryAgainAfter = (result: AttemptResult): VirtualGateway => {
    const gateway = giveUpOne();
    checkFirst(gateway, 10);
    leave(gateway, gateway.request(BUDGET_MS, false, 'print'));
    const [, attempt] = gateway.sent;
    if (attempt !== undefined) {
      gateway.end(attempt, result);
    }
    gateway.request(BUDGET_MS, false, 'print');
    return gateway;
  };

  it('is followed by no other while nothing has shown whether its replica ends', () => {
    expect(tryAgainAfter(failed('aborted')).sent).toHaveLength(2);
  });

  it('is followed at once when its replica has answered it', () => {
    expect(tryAgainAfter(answered).sent).toHaveLength(3);
  });
});

describe('a replica that is back before it is looked at', () => {
  const idOf = (gateway: VirtualGateway): string => gateway.sent[0]?.replica.id ?? '';

  it('has ended where another one answers at its address', () => {
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

  it('has ended where its entry tells a later start', () => {
    const gateway = giveUpOne();
    const record = gateway.state.replicas.find(idOf(gateway))?.record;
    const list = (bornAt: number, revision: number): void => {
      const objects = [
        { name: idOf(gateway), gone: false, ...(record && { value: { ...record, bornAt } }) },
      ];
      const changes = { collection: 'replicas', objects, revision } as const;
      gateway.emit({ type: 'changes-read', at: gateway.now, changes });
    };
    list(1_000, 11);
    expect(verdictOf(gateway)).toBe('unsuspected');
    list(2_000, 12);
    expect(verdictOf(gateway)).toBe('suspected');
  });

  it('is watched on where it takes connections after one of them broke', () => {
    const gateway = gatheringGateway(1);
    gateway.request(BUDGET_MS, false, 'print');
    gateway.sent.forEach((attempt) => gateway.end(attempt, failed('reset')));
    gateway.emit({ type: 'replica-checked', at: 5, replica: idOf(gateway), isDown: false });
    expect(watches(gateway).map(({ replica }) => replica.id)).toEqual([idOf(gateway)]);
    checkFirst(gateway, 200);
    expect(verdictOf(gateway)).toBe('suspected');
  });
});
