import { describe, expect, it } from 'vitest';
import { type ClassRank, classLabel, classRank } from '../../src/gateway/scheduling/class-rank.js';
import type { WaitingAttempt } from '../../src/gateway/requests/request-state.js';
import { WaitingQueue } from '../../src/gateway/scheduling/waiting-queue.js';
import { createActiveRequest, createLeg } from '../../src/gateway/requests/request-state.js';
import { routeTo } from './virtual-gateway.js';

interface Fields {
  readonly rank?: ClassRank;
  readonly objectiveAt?: number;
  readonly deadlineAt?: number;
  readonly reason?: 'first' | 'retry';
  readonly since?: number;
}

const NONE: ReadonlySet<ClassRank> = new Set();

let nextCall = 1;

/** An attempt of 10 ms for a request of two legs. */
const waitingAttempt = (fields: Fields = {}): WaitingAttempt => {
  const { rank = 0, objectiveAt = 100, deadlineAt = 1_000, reason = 'first', since = 0 } = fields;
  const call = nextCall;
  nextCall += 1;
  const legs = [createLeg('s0'), createLeg('s1')];
  const request = createActiveRequest({
    call,
    origin: 'coordinator',
    request: { requestId: `r-${call}`, fingerprint: '', host: '', path: '' },
    route: routeTo({ type: 'service', service: 's0' }),
    legs,
    receivedAt: since,
    deadlineAt,
    ownDeadlineAt: deadlineAt,
    objectiveAt,
    hedgeAt: deadlineAt,
    acknowledgeAt: undefined,
    rank,
    tenant: undefined,
    isCallerReplaced: false,
  });
  const leg = createLeg('s0');
  return { request, leg, reason, since, usualMs: 10, deadlineAt, isQueued: false };
};

const queueOf = (...attempts: readonly WaitingAttempt[]): WaitingQueue => {
  const queue = new WaitingQueue(5);
  attempts.forEach((waiting) => queue.add(waiting));
  return queue;
};

const takeAll = (queue: WaitingQueue, at: number): readonly WaitingAttempt[] => {
  const taken: WaitingAttempt[] = [];
  for (let next = queue.take(NONE, at); next !== undefined; next = queue.take(NONE, at)) {
    taken.push(next);
  }
  return taken;
};

describe('the order of waiting attempts', () => {
  it('puts more urgent classes first, then earlier deadlines', () => {
    const search = waitingAttempt({ rank: 1_001, deadlineAt: 300 });
    const late = waitingAttempt({ deadlineAt: 900 });
    const early = waitingAttempt({ deadlineAt: 500 });
    expect(takeAll(queueOf(search, late, early), 0)).toEqual([early, late, search]);
  });

  it('puts attempts that miss their objective behind those that can meet it', () => {
    const missing = waitingAttempt({ objectiveAt: 45, deadlineAt: 300 });
    const meeting = waitingAttempt({ objectiveAt: 200, deadlineAt: 600 });
    expect(takeAll(queueOf(missing, meeting), 40)).toEqual([meeting, missing]);
  });

  it('does not abandon a request that has half of its parts for another one', () => {
    const halfDone = waitingAttempt({ objectiveAt: 45, deadlineAt: 300 });
    halfDone.request.answeredLegs = 1;
    const other = waitingAttempt({ objectiveAt: 200, deadlineAt: 600 });
    expect(takeAll(queueOf(other, halfDone), 40)).toEqual([halfDone, other]);
  });

  it('puts retries behind the first attempts of their class, and leaves them out on demand', () => {
    const retry = waitingAttempt({ reason: 'retry', deadlineAt: 200 });
    const first = waitingAttempt({ deadlineAt: 900 });
    const queue = queueOf(retry, first);
    expect(queue.take(new Set([0]), 0)).toBe(first);
    expect(queue.take(new Set([0]), 0)).toBeUndefined();
    expect(queue.take(NONE, 0)).toBe(retry);
  });

  it('leaves out classes of which enough attempts were passed over', () => {
    const [urgent, other] = [waitingAttempt(), waitingAttempt({ rank: 1_001 })];
    const queue = queueOf(urgent, other);
    expect(queue.take(NONE, 0, new Set([0]))).toBe(other);
    expect(queue.take(NONE, 0, new Set([0]))).toBeUndefined();
    expect(queue.take(NONE, 0)).toBe(urgent);
  });

  it('returns attempts that can no longer be answered once, and does not start them', () => {
    const hopeless = waitingAttempt({ deadlineAt: 50 });
    const other = waitingAttempt({ deadlineAt: 500 });
    const queue = queueOf(hopeless, other);
    expect(queue.takeHopeless(40)).toEqual([]);
    expect(queue.takeHopeless(41)).toEqual([hopeless]);
    expect([queue.size, takeAll(queue, 41)]).toEqual([1, [other]]);
  });

  it('forgets removed attempts, also late ones, and counts the others', () => {
    const late = waitingAttempt({ objectiveAt: 10 });
    const later = waitingAttempt({ objectiveAt: 10, deadlineAt: 1_100 });
    const timely = waitingAttempt({ deadlineAt: 2_000 });
    const queue = queueOf(late, later, timely);
    expect(queue.take(NONE, 50)).toBe(timely);
    queue.remove(late);
    queue.remove(late);
    expect(queue.size).toBe(1);
    expect(queue.sizeUpTo(0)).toBe(1);
    expect(takeAll(queue, 50)).toEqual([later]);
  });
});

describe('aging', () => {
  /** Starts `starts` attempts while each start is followed by four new urgent ones and one of a less urgent class. */
  const startsByClass = (starts: number): ReadonlyMap<ClassRank, number> => {
    const queue = new WaitingQueue(5);
    const started = new Map<ClassRank, number>([[0, 0]]);
    for (let step = 0; step < starts; step += 1) {
      for (const rank of [0, 0, 0, 0, 1_001]) {
        queue.add(waitingAttempt({ rank, objectiveAt: 1e6, deadlineAt: 1e6 + step }));
      }
      const next = queue.take(NONE, step);
      if (next !== undefined) {
        queue.recordStart(next, step);
        started.set(next.request.rank, (started.get(next.request.rank) ?? 0) + 1);
      }
    }
    return started;
  };

  it('starts a less urgent class at least six tenths as often while a more urgent one fills the queue', () => {
    // A third as often did not leave the class its floor.
    const started = startsByClass(400);
    const urgentShare = (started.get(0) ?? 0) / 1_600;
    const otherShare = (started.get(1_001) ?? 0) / 400;
    expect(otherShare).toBeGreaterThanOrEqual(urgentShare * 0.65);
    expect(otherShare).toBeLessThan(urgentShare * 0.8);
  });

  it('does not start a less urgent class first when the queue begins to fill', () => {
    const other = waitingAttempt({ rank: 1_001, deadlineAt: 50 });
    const urgent = waitingAttempt();
    expect(queueOf(other, urgent).take(NONE, 0)).toBe(urgent);
  });
});

describe('the expected wait', () => {
  it('counts the attempts of the class and of more urgent ones', () => {
    const queue = queueOf(
      waitingAttempt(),
      waitingAttempt(),
      waitingAttempt({ rank: 1_001 }),
      waitingAttempt({ rank: 2_002 }),
    );
    expect(queue.waits(0)).toEqual([
      { rank: 0, waitMs: 10 },
      { rank: 1_001, waitMs: 15 },
      { rank: 2_002, waitMs: 20 },
    ]);
  });

  it('is at least as long as an attempt has waited that would start before', () => {
    const queue = queueOf(waitingAttempt({ since: 10 }));
    expect(queue.expectedWait(0, 90)).toBe(80);
    expect(new WaitingQueue(5).expectedWait(0, 90)).toBe(0);
  });

  it('does not take the time between bursts for the interval between starts', () => {
    // Rare short waits gave an interval of 200 ms, and gathers were refused for a wait of a second.
    const queue = new WaitingQueue(5);
    for (let at = 0; at < 10_000; at += 200) {
      const waiting = waitingAttempt({ since: at });
      queue.add(waiting);
      queue.take(NONE, at + 2);
      queue.recordStart(waiting, at + 2);
    }
    for (let index = 0; index < 6; index += 1) {
      queue.add(waitingAttempt({ since: 10_000 }));
    }
    expect(queue.expectedWait(0, 10_000)).toBeLessThanOrEqual(30);
  });

  it('follows the interval between starts', () => {
    const queue = queueOf(...Array.from({ length: 60 }, () => waitingAttempt()));
    for (let at = 0; at < 50; at += 1) {
      const next = queue.take(NONE, at);
      if (next !== undefined) {
        queue.recordStart(next, at);
      }
    }
    expect(queue.size).toBe(10);
    queue.add(waitingAttempt({ since: 50 }));
    expect(queue.expectedWait(0, 0)).toBeLessThan(15);
  });
});

it('distinguishes a bounded number of classes in metrics', () => {
  const labels = Array.from({ length: 50 }, (_, priority) =>
    classLabel(classRank(priority, priority)),
  );
  expect([...new Set(labels)]).toEqual(['0', '1', '2', '3', 'other']);
});
