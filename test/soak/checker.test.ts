/** Tests that the checker of the soak finds a violation of each promise in synthetic observations. */
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

describe('the check of whole answers', () => {
  it('rejects the answer to another request', () => {
    const other = run.addServed('/move/x', 'desk');
    run.addRequest('/move/x', other.outcome);
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('rejects an incomplete body', () => {
    const { outcome } = run.addServed('/move/x', 'desk');
    Object.assign(outcome, { bodyDigest: digestOf(Buffer.from('half of it')) });
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('rejects a success without a signature', () => {
    run.addRefused('/move/x', 200);
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('rejects a signature that no replica sent', () => {
    const { outcome } = run.addServed('/move/x', 'desk');
    Object.assign(outcome, { signature: 'made-up' });
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('rejects the identifier of another request', () => {
    const { outcome } = run.addServed('/move/x', 'desk');
    Object.assign(outcome, { answeredId: 'another' });
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('rejects a status that differs from the replica', () => {
    const { outcome } = run.addServed('/move/x', 'desk');
    Object.assign(outcome, { status: 500 });
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('rejects a gather without the greatest records', () => {
    run.addGathered(4, { bodyDigest: digestOf(Buffer.alloc(160)) });
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('rejects a gather with a wrong number of missing parts', () => {
    run.addGathered(3, { missingParts: 0 });
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('rejects a gather below the minimum coverage', () => {
    run.addGathered(2);
    expect(run.broken()).toEqual(['whole-answers']);
  });

  it('rejects a gather that names the same part twice', () => {
    run.addGathered(4);
    const last = run.observations.requests.at(-1)?.outcome;
    const parts = last?.type === 'answered' ? last.partSignatures : [];
    Object.assign(last ?? {}, { partSignatures: [...parts.slice(0, 3), parts[0]] });
    expect(run.broken()).toEqual(['whole-answers']);
  });
});

describe('requests', () => {
  it('are violations at a replica if no caller sent them', () => {
    const request = run.addServed('/move/x', 'desk');
    run.addArrival({ ...request, id: 'nobody-sent-this' }, 'desk');
    expect(run.broken()).toEqual(['unchanged-requests']);
  });

  it('are violations if their path was changed', () => {
    const request = run.addServed('/move/x', 'desk');
    run.addArrival({ ...request, path: '/move/y' }, 'desk');
    expect(run.broken()).toEqual(['unchanged-requests']);
  });

  it('are violations if their body was changed', () => {
    const request = run.addServed('/move/x', 'desk');
    run.addArrival({ ...request, bodyDigest: 'another' }, 'desk');
    expect(run.broken()).toEqual(['unchanged-requests']);
  });

  it('are violations if they run twice and may not be repeated', () => {
    const request = run.addServed('/once/x', 'desk');
    run.addArrival(request, 'desk', { replica: 'desk~2' });
    expect(run.broken()).toEqual(['at-most-once']);
  });

  it('may be sent again after a refusal, or if they are repeatable', () => {
    run.addArrival(run.addServed('/once/x', 'desk'), 'desk', { replica: 'desk~2', ran: false });
    run.addArrival(run.addServed('/move/x', 'desk'), 'desk', { replica: 'desk~2' });
    expect(run.broken()).toEqual([]);
  });

  it.each([503, 429, 408, 421])('are violations if they ran and were answered %i', (status) => {
    run.addArrival(run.addRefused('/once/x', status), 'desk', { at: 26_000 });
    expect(run.broken()).toEqual(['refused-never-ran']);
  });
});

describe('the check of replicas that leave', () => {
  const leave = (): void => {
    run.observations.departures.push({
      replica: 'desk~1',
      service: 'desk',
      why: 'leaves',
      acknowledgedAt: 16_000,
      returnedAt: undefined,
    });
  };

  it('rejects requests after the bound', () => {
    leave();
    run.addServed('/once/x', 'desk', { sentAt: 19_100 });
    expect(run.broken()).toEqual(['drained-replicas']);
  });

  it('allows requests before the bound', () => {
    leave();
    run.addServed('/once/x', 'desk', { sentAt: 18_900 });
    expect(run.broken()).toEqual([]);
  });

  it('excludes a gateway that was out of contact, and no other', () => {
    leave();
    run.addDisturbance(0, 15_500, 15_600);
    run.addServed('/once/x', 'desk', { sentAt: 19_100 });
    expect(run.broken()).toEqual([]);
    run.addServed('/once/x', 'desk', { sentAt: 19_100, gateway: 1 });
    expect(run.broken()).toEqual(['drained-replicas']);
  });

  it('excludes a gateway only until it is in contact again', () => {
    leave();
    run.addDisturbance(0, 15_500, 15_600);
    run.addServed('/once/x', 'desk', { sentAt: 19_700 });
    expect(run.broken()).toEqual(['drained-replicas']);
  });

  it('excludes departures that were acknowledged while the store was disturbed', () => {
    leave();
    run.addDisturbance('store', 12_500, 12_600);
    run.addServed('/once/x', 'desk', { sentAt: 19_700 });
    expect(run.broken()).toEqual([]);
  });
});

describe('the check of overwritten entries', () => {
  const spoil = (returnedAt?: number): void => {
    run.observations.departures.push({
      replica: 'desk~1',
      service: 'desk',
      why: 'entry-spoilt',
      acknowledgedAt: 16_000,
      returnedAt,
    });
  };

  it('rejects requests after the bound', () => {
    spoil();
    run.addServed('/once/x', 'desk', { sentAt: 19_100 });
    expect(run.broken()).toEqual(['spoilt-entries']);
  });

  it('allows requests after the replica has restored its entry', () => {
    spoil(18_000);
    run.addServed('/once/x', 'desk', { sentAt: 19_100 });
    expect(run.broken()).toEqual([]);
  });
});

describe('the check of the configuration', () => {
  it('rejects the old service of a moved route after the bound', () => {
    run.addVersion(10_000);
    run.addServed('/move/x', 'desk', { sentAt: 13_100 });
    expect(run.broken()).toEqual(['configuration']);
  });

  it('rejects a 404 for an added route after the bound', () => {
    run.addVersion(10_000);
    run.addRefused('/only-1/x', 404, { sentAt: 13_100 });
    expect(run.broken()).toEqual(['configuration']);
  });

  it('rejects a run by a removed route after the bound', () => {
    run.addVersion(10_000);
    run.addServed('/only-0/x', 'desk', { sentAt: 13_100 });
    expect(run.broken()).toEqual(['configuration']);
  });

  it('allows both versions before the bound', () => {
    run.addVersion(10_000);
    run.addServed('/only-0/x', 'desk', { sentAt: 12_900 });
    run.addServed('/only-1/x', 'desk', { sentAt: 12_900, gateway: 1 });
    expect(run.broken()).toEqual([]);
  });

  it('excludes a gateway only while it is out of contact', () => {
    run.addVersion(10_000);
    run.addDisturbance(0, 9_500, 9_900);
    run.addServed('/only-0/x', 'desk', { sentAt: 13_100 });
    expect(run.broken()).toEqual([]);
    run.addServed('/only-0/x', 'desk', { sentAt: 14_000 });
    expect(run.broken()).toEqual(['configuration']);
  });

  it('rejects a rollback in one process, even out of contact', () => {
    run.addDisturbance('store', 0, 90_000);
    run.addVersion(10_000);
    run.addServed('/move/x', 'annex', { sentAt: 11_000 });
    run.addServed('/move/x', 'desk', { sentAt: 11_500 });
    expect(run.broken()).toEqual(['configuration']);
  });

  it('allows an older version at another gateway and in the next process', () => {
    run.addVersion(10_000);
    run.addServed('/move/x', 'annex', { sentAt: 11_000 });
    run.addServed('/move/x', 'desk', { sentAt: 11_500, gateway: 1 });
    run.addServed('/move/x', 'desk', { sentAt: 11_600, incarnation: 2 });
    expect(run.broken()).toEqual([]);
  });

  it('rejects a service that no acknowledged version allows', () => {
    run.addDisturbance(0, 0, 90_000);
    run.addServed('/move/x', 'annex');
    expect(run.broken()).toEqual(['configuration']);
  });

  it('rejects a 404 for a route of every version, even out of contact', () => {
    run.addDisturbance(0, 0, 90_000);
    run.addRefused('/move/x', 404);
    expect(run.broken()).toEqual(['configuration']);
  });
});

describe('the check of planned stops', () => {
  const stop = (endedAt: number | undefined, exitCode = 0): void => {
    run.observations.stops.push({ gateway: 0, incarnation: 1, at: 20_000, endedAt, exitCode });
    run.addDisturbance(0, 20_000, endedAt ?? 26_100, true);
  };

  it('accepts an exit in time with code 0 that cuts off no request', () => {
    stop(24_000);
    run.addServed('/once/x', 'desk', { sentAt: 20_500 });
    run.addRequest('/once/x', { type: 'cut' }, { sentAt: 23_999, endedAt: 24_010 });
    run.observations.readiness.push({ gateway: 0, at: 20_500, ready: true });
    expect(run.broken()).toEqual([]);
  });

  it('rejects a process that had to be killed', () => {
    stop(undefined);
    expect(run.broken()).toEqual(['planned-stops']);
  });

  it('rejects an exit code other than 0', () => {
    stop(24_000, 1);
    expect(run.broken()).toEqual(['planned-stops']);
  });

  it('rejects a process that stays ready', () => {
    stop(25_000);
    run.observations.readiness.push({ gateway: 0, at: 24_500, ready: true });
    expect(run.broken()).toEqual(['planned-stops']);
  });

  it('rejects the cut-off of a request that arrived at a replica', () => {
    stop(24_000);
    const cut = run.addRequest('/once/x', { type: 'cut' }, { sentAt: 23_950, endedAt: 24_000 });
    run.addArrival(cut, 'desk');
    expect(run.broken()).toEqual(['planned-stops']);
  });

  it('rejects the cut-off of a request long after it was sent', () => {
    stop(24_000);
    run.addRequest('/once/x', { type: 'cut' }, { sentAt: 23_000, endedAt: 24_000 });
    expect(run.broken()).toEqual(['planned-stops']);
  });

  it('excludes requests that a kill cut off', () => {
    run.addDisturbance(0, 24_000, 25_000);
    run.addRequest('/once/x', { type: 'cut' }, { sentAt: 23_000, endedAt: 24_000 });
    expect(run.broken()).toEqual([]);
  });
});

describe('the check of the retry budget', () => {
  const addWithRepeats = (count: number): void => {
    for (let index = 0; index < count; index += 1) {
      const request = run.addServed('/move/x', 'desk', { sentAt: 30_000 + index * 100 });
      run.addArrival(request, 'desk', { replica: 'desk~2', at: request.sentAt + 6 });
    }
  };

  it('accepts repeats up to the slack', () => {
    addWithRepeats(6);
    expect(run.broken()).toEqual([]);
  });

  it('rejects repeats beyond the slack', () => {
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

describe('the check of abandoned requests', () => {
  const addLeft = (workMs: number, endedAt: number): void => {
    const times = { sentAt: 20_000, endedAt: 20_100 };
    const request = run.addRequest('/move/x', { type: 'left' }, times);
    run.addArrival(request, 'desk', { workMs, endedAt });
  };

  it('accepts work that ends within half a second', () => {
    addLeft(1_400, 20_500);
    expect(run.broken()).toEqual([]);
  });

  it('rejects work that continues', () => {
    addLeft(1_400, 21_400);
    expect(run.broken()).toEqual(['callers-gone']);
  });

  it('rejects work that begins later', () => {
    for (let index = 0; index < 4; index += 1) {
      const request = run.addRequest('/move/x', { type: 'left' }, { endedAt: 20_100 });
      run.addArrival(request, 'desk', { at: 20_700, endedAt: 20_701 });
    }
    expect(run.broken()).toEqual(['callers-gone']);
  });
});

describe('the check of the recovery', () => {
  const later = FAULTS_ENDED_AT + 13_000;

  it('rejects a gateway that fails two readiness checks in a row', () => {
    run.observations.readiness.push({ gateway: 1, at: later, ready: false });
    expect(run.broken()).toEqual([]);
    run.observations.readiness.push({ gateway: 1, at: later + 500, ready: false });
    expect(run.broken()).toEqual(['recovery']);
  });

  it('rejects a gateway that does not serve', () => {
    run.addRefused('/once/x', 503, { sentAt: later });
    expect(run.broken()).toEqual(['recovery']);
  });

  it('rejects a gateway that received no requests', () => {
    expect(run.broken({ gateways: 3 })).toEqual(['recovery']);
  });

  it('rejects a run whose faults have not ended', () => {
    run.observations.faultsEndedAt = undefined;
    expect(run.broken()).toEqual(['recovery']);
  });

  it('rejects an unexpected exit of a process', () => {
    run.observations.unexpectedExits.push({ gateway: 0, at: 5_000, detail: 'code 1' });
    expect(run.broken()).toEqual(['no-unexpected-exit']);
  });
});

describe('the check of poison requests', () => {
  const PATH = '/move/2/lethal-0';

  /** Adds three crashes, the third at 20 s, and `count` later requests that each reach another replica. */
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

  it('rejects a fourth request that reaches a replica once the poison request is known', () => {
    addLateRuns(4, 24_100);
    expect(run.broken()).toEqual(['poison-requests']);
  });

  it('allows three such requests', () => {
    addLateRuns(3, 24_100);
    expect(run.broken()).toEqual([]);
  });

  it('allows more of them before that', () => {
    addLateRuns(4, 23_000);
    expect(run.broken()).toEqual([]);
  });
});
