import { describe, expect, it } from 'vitest';
import { CrashHistories } from '../../src/gateway/crashes/crash-histories.js';
import { fromCrashUpdate, toCrashUpdate } from '../../src/gateway/crashes/crash-update.js';
import {
  recordCrash,
  recordInconclusiveTrial,
  recordAnswer,
  markTrialStarted,
  type CrashHistory,
  isWorthPublishing,
  mergeHistories,
  EMPTY_HISTORY,
  nextTrialAt,
  verdictOf,
} from '../../src/gateway/crashes/crash-history.js';

const crash = (known: CrashHistory, at: number, knownRounds = known.rounds): CrashHistory =>
  recordCrash(known, { knownRounds, sentAt: at - 20, crashedAt: at });

const crashedTimes = (count: number): CrashHistory =>
  Array.from({ length: count }).reduce<CrashHistory>(
    (known, _, index) => crash(known, 100 * (index + 1)),
    EMPTY_HISTORY,
  );

const BLOCKED = crashedTimes(3);
const BLOCK_MS = 60_000;

describe('crash history of a request', () => {
  it('makes the request suspected after one or two rounds and blocked after three', () => {
    const verdicts = [0, 1, 2, 3].map((count) => verdictOf(crashedTimes(count), 400));
    expect(verdicts).toEqual(['unsuspected', 'suspected', 'suspected', 'blocked']);
  });

  it('counts all crashes of attempts that were sent with the same known rounds as one round', () => {
    const known = [10, 11, 300, 5_000].reduce((each, at) => crash(each, at, 0), EMPTY_HISTORY);
    expect(known.rounds).toBe(1);
  });

  it('is cleared by an answer of a replica', () => {
    expect(verdictOf(recordAnswer(crashedTimes(2), 250), 260)).toBe('unsuspected');
    expect(verdictOf(recordAnswer(BLOCKED, 350), 360)).toBe('unsuspected');
  });

  it('is not cleared by an answer from before the crash', () => {
    expect(verdictOf(recordAnswer(BLOCKED, 250), 360)).toBe('blocked');
  });

  it('ignores a crash from before the answer', () => {
    const served = recordAnswer(EMPTY_HISTORY, 500);
    expect(crash(served, 400)).toBe(served);
  });

  it('allows a trial once the block is over, and blocks others until its outcome', () => {
    const dueAt = 300 + BLOCK_MS;
    expect(verdictOf(BLOCKED, dueAt - 1)).toBe('blocked');
    expect(verdictOf(BLOCKED, dueAt)).toBe('trial-due');
    const duringTrial = markTrialStarted(BLOCKED, dueAt);
    expect(verdictOf(duringTrial, dueAt + 4_999)).toBe('blocked');
    expect(verdictOf(duringTrial, dueAt + 5_000)).toBe('trial-due');
  });

  it('blocks ten times as long after a trial that crashed a replica', () => {
    const dueAt = 300 + BLOCK_MS;
    const again = crash(markTrialStarted(BLOCKED, dueAt), dueAt + 30);
    expect([again.level, nextTrialAt(again)]).toEqual([2, dueAt + 30 + 10 * BLOCK_MS]);
  });

  it('does not prolong the block for crashes of attempts sent before it began', () => {
    const late = crash(BLOCKED, 320);
    expect([late.level, nextTrialAt(late)]).toEqual([1, 300 + BLOCK_MS]);
  });
});

describe('crash histories of two gateways', () => {
  const sendHistory = (own: CrashHistory, sent: CrashHistory, at: number): CrashHistory =>
    mergeHistories(own, fromCrashUpdate(toCrashUpdate('print', sent, at), at));

  it('converge once each has sent its history to the other', () => {
    const states = [
      EMPTY_HISTORY,
      crashedTimes(1),
      crashedTimes(2),
      BLOCKED,
      crash(markTrialStarted(BLOCKED, 300 + BLOCK_MS), 330 + BLOCK_MS),
      recordAnswer(crashedTimes(2), 250),
      recordAnswer(BLOCKED, 1_000),
    ];
    const at = 400 + BLOCK_MS;
    for (const left of states) {
      for (const right of states) {
        const merged = [sendHistory(left, right, at), sendHistory(right, left, at)];
        expect(merged[0]).toEqual(merged[1]);
      }
    }
  });

  it('are not published again when an update is repeated or comes back', () => {
    const once = sendHistory(EMPTY_HISTORY, BLOCKED, 400);
    expect(isWorthPublishing(EMPTY_HISTORY, once)).toBe(true);
    expect(isWorthPublishing(once, sendHistory(once, BLOCKED, 900))).toBe(false);
    expect(isWorthPublishing(BLOCKED, sendHistory(BLOCKED, once, 500))).toBe(false);
  });

  it('keep the end of a block whatever the transit time of an update', () => {
    const late = mergeHistories(
      BLOCKED,
      fromCrashUpdate(toCrashUpdate('print', BLOCKED, 400), 2_400),
    );
    expect(nextTrialAt(late)).toBe(nextTrialAt(BLOCKED));
  });
});

describe('crash histories of a gateway', () => {
  it('keep 256 requests, and evict blocked ones last', () => {
    const histories = new CrashHistories();
    histories.put('blocked', BLOCKED);
    for (let index = 0; index < 1_000; index += 1) {
      histories.put(`suspected-${index}`, crash(EMPTY_HISTORY, 400 + index));
    }
    expect(histories.size).toBe(256);
    expect(histories.verdict('blocked', 1_500)).toBe('blocked');
    expect(histories.verdict('suspected-999', 1_500)).toBe('suspected');
    expect(histories.verdict('suspected-0', 1_500)).toBe('unsuspected');
  });

  it('keep a request with two rounds in preference to many requests with one', () => {
    const histories = new CrashHistories();
    histories.put('twice', crashedTimes(2));
    for (let index = 0; index < 1_000; index += 1) {
      histories.put(`once-${index}`, crash(EMPTY_HISTORY, 400 + index));
    }
    expect(histories.find('twice', 1_500).rounds).toBe(2);
  });

  it('remove a suspected request after ten minutes, and a blocked one ten minutes after its block', () => {
    const histories = new CrashHistories();
    histories.put('suspected', crashedTimes(1));
    histories.put('blocked', BLOCKED);
    expect(histories.verdict('suspected', 600_099)).toBe('suspected');
    expect(histories.verdict('suspected', 600_100)).toBe('unsuspected');
    expect(histories.verdict('blocked', 660_299)).toBe('trial-due');
    expect(histories.verdict('blocked', 660_300)).toBe('unsuspected');
    histories.removeExpired(660_300);
    expect(histories.size).toBe(0);
  });
});

describe('inconclusive trial of a suspected request', () => {
  const suspected = crash(EMPTY_HISTORY, 1_000);
  const twice = crash(suspected, 1_000);
  const pausesOf = (known: CrashHistory): readonly number[] =>
    [1_010, 3_000, 9_000, 90_000].map((at) => recordInconclusiveTrial(known, at).trialUntil - at);

  it('with two rounds is followed by a pause of twice the time since the last crash', () => {
    expect(pausesOf(twice)).toEqual([250, 4_000, 16_000, 30_000]);
  });

  it('with two rounds pauses for at least the watch time where a replica may still be running it', () => {
    const pause = (at: number): number => recordInconclusiveTrial(twice, at, true).trialUntil - at;
    expect([1_010, 3_000, 9_000].map(pause)).toEqual([5_000, 5_000, 16_000]);
    expect(recordInconclusiveTrial(suspected, 1_010, true).trialUntil).toBe(1_260);
  });

  it('with one round, as of every request that a crashed replica was running, is followed by a short pause', () => {
    expect(pausesOf(suspected)).toEqual([250, 2_000, 5_000, 5_000]);
  });

  it('leaves the request suspected, and is published to other gateways', () => {
    const paused = recordInconclusiveTrial(suspected, 3_000);
    expect(verdictOf(paused, 3_000)).toBe('suspected');
    expect(isWorthPublishing(suspected, paused)).toBe(true);
    const received = fromCrashUpdate(toCrashUpdate('print', paused, 3_000), 13_000);
    expect(mergeHistories(EMPTY_HISTORY, received).trialUntil).toBe(15_000);
  });
});
