/** The checker of the soak: each promise is broken once in observations that are made up. */
import { beforeEach, describe, expect, it } from 'vitest';
import { digestOf } from '../../soak/world/answer-body.js';
import { FAULTS_ENDED_AT, SyntheticRun } from './synthetic-run.js';

let run: SyntheticRun;

beforeEach(() => {
  run = new SyntheticRun();
});

describe('a run in which every promise holds', () => {
  it('has no violation', () => {
    run.addServed('/move/x', 'desk');
    run.addGathered(4);
    run.addGathered(3);
    run.addRefused('/once/x', 503);
    run.addRequest('/once/x', { type: 'unreachable' });
    expect(run.broken()).toEqual([]);
  });
});

describe('whole answers', () => {
  it('are not those of another request', () => {
    const other = run.addServed('/move/x', 'desk');
    run.addRequest('/move/x', other.outcome);
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('have every byte of the replica', () => {
    const { outcome } = run.addServed('/move/x', 'desk');
    Object.assign(outcome, { bodyDigest: digestOf(Buffer.from('half of it')) });
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('have a signature', () => {
    run.addRefused('/move/x', 200);
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('have a signature that a replica gave', () => {
    const { outcome } = run.addServed('/move/x', 'desk');
    Object.assign(outcome, { signature: 'made-up' });
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('echo no other identifier', () => {
    const { outcome } = run.addServed('/move/x', 'desk');
    Object.assign(outcome, { answeredId: 'another' });
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('have the status of the replica', () => {
    const { outcome } = run.addServed('/move/x', 'desk');
    Object.assign(outcome, { status: 500 });
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('of a gather are the greatest records', () => {
    run.addGathered(4, { bodyDigest: digestOf(Buffer.alloc(160)) });
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('of a gather tell how many parts are missing', () => {
    run.addGathered(3, { missingParts: 0 });
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('of a gather have the least coverage', () => {
    run.addGathered(2);
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('of a gather name no part twice', () => {
    run.addGathered(4);
    const last = run.observations.requests.at(-1)?.outcome;
    const parts = last?.type === 'answered' ? last.partSignatures : [];
    Object.assign(last ?? {}, { partSignatures: [...parts.slice(0, 3), parts[0]] });
    expect(run.broken()).toEqual(['whole-answers']);
  });
});

describe('requests', () => {
  it('reach replicas only if a caller sent them', () => {
    const request = run.addServed('/move/x', 'desk');
    run.addArrival({ ...request, id: 'nobody-sent-this' }, 'desk');
    expect(run.broken()).toEqual(['unchanged-requests']);
  });

  it('reach replicas with their path', () => {
    const request = run.addServed('/move/x', 'desk');
    run.addArrival({ ...request, path: '/move/y' }, 'desk');
    expect(run.broken()).toEqual(['unchanged-requests']);
  });

  it('reach replicas with their body', () => {
    const request = run.addServed('/move/x', 'desk');
    run.addArrival({ ...request, bodyDigest: 'another' }, 'desk');
    expect(run.broken()).toEqual(['unchanged-requests']);
  });

  it('run at most once where they may not be repeated', () => {
    const request = run.addServed('/once/x', 'desk');
    run.addArrival(request, 'desk', { replica: 'desk~2' });
    expect(run.broken()).toEqual(['at-most-once']);
  });

  it('may be sent again after a refusal, or where they may be repeated', () => {
    run.addArrival(run.addServed('/once/x', 'desk'), 'desk', { replica: 'desk~2', ran: false });
    run.addArrival(run.addServed('/move/x', 'desk'), 'desk', { replica: 'desk~2' });
    expect(run.broken()).toEqual([]);
  });

  it.each([503, 429, 408, 421])('have not run when they are answered %i', (status) => {
    run.addArrival(run.addRefused('/once/x', status), 'desk', { at: 26_000 });
    expect(run.broken()).toEqual(['refused-never-ran']);
  });
});

describe('replicas that leave', () => {
  const leave = (): void => {
    run.observations.departures.push({
      replica: 'desk~1',
      service: 'desk',
      why: 'leaves',
      acknowledgedAt: 16_000,
      returnedAt: undefined,
    });
  };

  it('get no request later than the bound', () => {
    leave();
    run.addServed('/once/x', 'desk', { sentAt: 19_100 });
    expect(run.broken()).toEqual(['drained-replicas']);
  });

  it('get requests before that', () => {
    leave();
    run.addServed('/once/x', 'desk', { sentAt: 18_900 });
    expect(run.broken()).toEqual([]);
  });

  it('excuse a gateway that was out of touch, and no other', () => {
    leave();
    run.addDisturbance(0, 15_500, 15_600);
    run.addServed('/once/x', 'desk', { sentAt: 19_100 });
    expect(run.broken()).toEqual([]);
    run.addServed('/once/x', 'desk', { sentAt: 19_100, gateway: 1 });
    expect(run.broken()).toEqual(['drained-replicas']);
  });

  it('excuse a gateway that is in touch again only before that', () => {
    leave();
    run.addDisturbance(0, 15_500, 15_600);
    run.addServed('/once/x', 'desk', { sentAt: 19_700 });
    expect(run.broken()).toEqual(['drained-replicas']);
  });

  it('are not due where the store was in trouble when it said so', () => {
    leave();
    run.addDisturbance('store', 12_500, 12_600);
    run.addServed('/once/x', 'desk', { sentAt: 19_700 });
    expect(run.broken()).toEqual([]);
  });
});

describe('replicas whose entries are spoilt', () => {
  const spoil = (returnedAt?: number): void => {
    run.observations.departures.push({
      replica: 'desk~1',
      service: 'desk',
      why: 'entry-spoilt',
      acknowledgedAt: 16_000,
      returnedAt,
    });
  };

  it('get no request later than the bound', () => {
    spoil();
    run.addServed('/once/x', 'desk', { sentAt: 19_100 });
    expect(run.broken()).toEqual(['spoilt-entries']);
  });

  it('get requests again when they have written their own', () => {
    spoil(18_000);
    run.addServed('/once/x', 'desk', { sentAt: 19_100 });
    expect(run.broken()).toEqual([]);
  });
});

describe('a version', () => {
  it('is in force after the bound: a route that has moved', () => {
    run.addVersion(10_000);
    run.addServed('/move/x', 'desk', { sentAt: 13_100 });
    expect(run.broken()).toEqual(['configuration']);
  });

  it('is in force after the bound: a route that was added', () => {
    run.addVersion(10_000);
    run.addRefused('/only-1/x', 404, { sentAt: 13_100 });
    expect(run.broken()).toEqual(['configuration']);
  });

  it('is in force after the bound: a route that was removed', () => {
    run.addVersion(10_000);
    run.addServed('/only-0/x', 'desk', { sentAt: 13_100 });
    expect(run.broken()).toEqual(['configuration']);
  });

  it('may come into force until then', () => {
    run.addVersion(10_000);
    run.addServed('/only-0/x', 'desk', { sentAt: 12_900 });
    run.addServed('/only-1/x', 'desk', { sentAt: 12_900, gateway: 1 });
    expect(run.broken()).toEqual([]);
  });

  it('is not due at a gateway that was out of touch', () => {
    run.addVersion(10_000);
    run.addDisturbance(0, 9_500, 9_900);
    run.addServed('/only-0/x', 'desk', { sentAt: 13_100 });
    expect(run.broken()).toEqual([]);
    run.addServed('/only-0/x', 'desk', { sentAt: 14_000 });
    expect(run.broken()).toEqual(['configuration']);
  });

  it('never goes back in one process, also out of touch', () => {
    run.addDisturbance('store', 0, 90_000);
    run.addVersion(10_000);
    run.addServed('/move/x', 'annex', { sentAt: 11_000 });
    run.addServed('/move/x', 'desk', { sentAt: 11_500 });
    expect(run.broken()).toEqual(['configuration']);
  });

  it('may be older at another gateway and in the next process', () => {
    run.addVersion(10_000);
    run.addServed('/move/x', 'annex', { sentAt: 11_000 });
    run.addServed('/move/x', 'desk', { sentAt: 11_500, gateway: 1 });
    run.addServed('/move/x', 'desk', { sentAt: 11_600, incarnation: 2 });
    expect(run.broken()).toEqual([]);
  });

  it('allows a service before a request runs there', () => {
    run.addDisturbance(0, 0, 90_000);
    run.addServed('/move/x', 'annex');
    expect(run.broken()).toEqual(['configuration']);
  });

  it('that knows a route allows no 404, also out of touch', () => {
    run.addDisturbance(0, 0, 90_000);
    run.addRefused('/move/x', 404);
    expect(run.broken()).toEqual(['configuration']);
  });
});

describe('a planned stop', () => {
  const stop = (endedAt: number | undefined, exitCode = 0): void => {
    run.observations.stops.push({ gateway: 0, incarnation: 1, at: 20_000, endedAt, exitCode });
    run.addDisturbance(0, 20_000, endedAt ?? 26_100, true);
  };

  it('ends in time, with 0, and cuts nothing off', () => {
    stop(24_000);
    run.addServed('/once/x', 'desk', { sentAt: 20_500 });
    run.addRequest('/once/x', { type: 'cut' }, { sentAt: 23_999, endedAt: 24_010 });
    run.observations.readiness.push({ gateway: 0, at: 20_500, ready: true });
    expect(run.broken()).toEqual([]);
  });

  it('does not have to be ended by force', () => {
    stop(undefined);
    expect(run.broken()).toEqual(['planned-stops']);
  });

  it('does not end with a failure', () => {
    stop(24_000, 1);
    expect(run.broken()).toEqual(['planned-stops']);
  });

  it('does not stay ready', () => {
    stop(25_000);
    run.observations.readiness.push({ gateway: 0, at: 24_500, ready: true });
    expect(run.broken()).toEqual(['planned-stops']);
  });

  it('cuts off no request that a replica has', () => {
    stop(24_000);
    const cut = run.addRequest('/once/x', { type: 'cut' }, { sentAt: 23_950, endedAt: 24_000 });
    run.addArrival(cut, 'desk');
    expect(run.broken()).toEqual(['planned-stops']);
  });

  it('cuts off no request long after it was sent', () => {
    stop(24_000);
    run.addRequest('/once/x', { type: 'cut' }, { sentAt: 23_000, endedAt: 24_000 });
    expect(run.broken()).toEqual(['planned-stops']);
  });

  it('excuses what a kill has cut off', () => {
    run.addDisturbance(0, 24_000, 25_000);
    run.addRequest('/once/x', { type: 'cut' }, { sentAt: 23_000, endedAt: 24_000 });
    expect(run.broken()).toEqual([]);
  });
});

describe('the retry budget', () => {
  const addWithRepeats = (count: number): void => {
    for (let index = 0; index < count; index += 1) {
      const request = run.addServed('/move/x', 'desk', { sentAt: 30_000 + index * 100 });
      run.addArrival(request, 'desk', { replica: 'desk~2', at: request.sentAt + 6 });
    }
  };

  it('holds up to its slack', () => {
    addWithRepeats(6);
    expect(run.broken()).toEqual([]);
  });

  it('does not hold beyond', () => {
    addWithRepeats(8);
    expect(run.broken()).toEqual(['retry-budget']);
  });

  it('counts repeats that a replica refused', () => {
    addWithRepeats(6);
    const request = run.addServed('/move/x', 'desk', { sentAt: 30_500 });
    run.addArrival(request, 'desk', { ran: false, at: 30_701 });
    run.addArrival(request, 'desk', { ran: false, at: 30_702 });
    expect(run.broken()).toEqual(['retry-budget']);
  });
});

describe('work for callers who have left', () => {
  const addLeft = (workMs: number, endedAt: number): void => {
    const times = { sentAt: 20_000, endedAt: 20_100 };
    const request = run.addRequest('/move/x', { type: 'left' }, times);
    run.addArrival(request, 'desk', { workMs, endedAt });
  };

  it('ends within half a second', () => {
    addLeft(1_400, 20_500);
    expect(run.broken()).toEqual([]);
  });

  it('does not go on', () => {
    addLeft(1_400, 21_400);
    expect(run.broken()).toEqual(['callers-gone']);
  });

  it('does not begin later', () => {
    for (let index = 0; index < 4; index += 1) {
      const request = run.addRequest('/move/x', { type: 'left' }, { endedAt: 20_100 });
      run.addArrival(request, 'desk', { at: 20_700, endedAt: 20_701 });
    }
    expect(run.broken()).toEqual(['callers-gone']);
  });
});

describe('after the faults', () => {
  const later = FAULTS_ENDED_AT + 13_000;

  it('all gateways are ready', () => {
    run.observations.readiness.push({ gateway: 1, at: later, ready: false });
    expect(run.broken()).toEqual([]);
    run.observations.readiness.push({ gateway: 1, at: later + 500, ready: false });
    expect(run.broken()).toEqual(['recovery']);
  });

  it('all gateways serve', () => {
    run.addRefused('/once/x', 503, { sentAt: later });
    expect(run.broken()).toEqual(['recovery']);
  });

  it('a gateway that was asked nothing shows nothing', () => {
    expect(run.broken({ gateways: 3 })).toEqual(['recovery']);
  });

  it('must have come to their end', () => {
    run.observations.faultsEndedAt = undefined;
    expect(run.broken()).toEqual(['recovery']);
  });

  it('no process has ended by itself', () => {
    run.observations.unexpectedExits.push({ gateway: 0, at: 5_000, detail: 'code 1' });
    expect(run.broken()).toEqual(['no-own-end']);
  });
});

describe('a request that ends the replicas that run it', () => {
  const PATH = '/move/2/lethal-0';

  /** Its third replica has ended at 20 s; `count` of its tries reach one more, each at a time of its own. */
  const addLateRuns = (count: number, from: number): void => {
    [18_000, 19_000, 20_000].forEach((at) =>
      run.observations.poisonCrashes.push({ path: PATH, at }),
    );
    for (let index = 0; index < count; index += 1) {
      const at = from + index * 100;
      const refused = run.addRefused(PATH, 502, { sentAt: at, endedAt: at + 20 });
      run.addArrival(refused, 'desk', { at: at + 5 });
    }
  };

  it('reaches replicas in three tries at most once that can be known', () => {
    addLateRuns(4, 24_100);
    expect(run.broken()).toEqual(['lethal-requests']);
  });

  it('may reach them in three', () => {
    addLateRuns(3, 24_100);
    expect(run.broken()).toEqual([]);
  });

  it('may reach them before', () => {
    addLateRuns(4, 23_000);
    expect(run.broken()).toEqual([]);
  });
});
