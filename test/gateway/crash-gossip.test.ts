/** Crash updates among many gateways in virtual time: how many messages a change costs, and that they end. */
import { describe, expect, it } from 'vitest';
import { BinaryHeap } from '../../src/core/binary-heap.js';
import { createRandom, type Random } from '../../src/core/random.js';
import {
  type CrashHistory,
  EMPTY_HISTORY,
  isWorthPublishing,
  markTrialStarted,
  mergeHistories,
  recordAnswer,
  recordCrash,
  recordInconclusiveTrial,
} from '../../src/gateway/crashes/crash-history.js';
import { fromCrashUpdate, toCrashUpdate } from '../../src/gateway/crashes/crash-update.js';

/** Least time between two messages of a gateway, in milliseconds. */
const MIN_INTERVAL_MS = 4;

/** Draws the transit time of a message between two gateways, in milliseconds. */
type Transit = (from: number, to: number, random: Random) => number;

/** Gateways that forward each change of the history of one request to the neighbours on a ring. */
class Gossip {
  now = 1_000;
  messages = 0;
  readonly histories: CrashHistory[];
  private readonly events = new BinaryHeap<{ readonly at: number; readonly run: () => void }>(
    (left, right) => left.at < right.at,
  );
  private readonly isPending: boolean[];
  private readonly publishedAt: number[];
  private readonly random: Random;

  constructor(
    private readonly gateways: number,
    private readonly transit: Transit,
    seed: number,
  ) {
    this.histories = Array.from({ length: gateways }, () => EMPTY_HISTORY);
    this.isPending = this.histories.map(() => false);
    this.publishedAt = this.histories.map(() => 0);
    this.random = createRandom(seed);
  }

  /** Changes the history of a gateway at a time. */
  change(at: number, gateway: number, apply: (history: CrashHistory, at: number) => CrashHistory) {
    this.events.push({
      at,
      run: () => {
        this.update(gateway, apply(this.historyOf(gateway), this.now));
      },
    });
  }

  /** Runs until no message is on its way, or until a time. */
  run(untilMs: number): void {
    for (let next = this.events.pop(); next !== undefined; next = this.events.pop()) {
      if (next.at > untilMs) {
        return;
      }
      this.now = next.at;
      next.run();
    }
  }

  private historyOf(gateway: number): CrashHistory {
    return this.histories[gateway] ?? EMPTY_HISTORY;
  }

  private update(gateway: number, after: CrashHistory): void {
    const before = this.historyOf(gateway);
    this.histories[gateway] = after;
    if (isWorthPublishing(before, after) && this.isPending[gateway] !== true) {
      this.isPending[gateway] = true;
      const at = Math.max(this.now, (this.publishedAt[gateway] ?? 0) + MIN_INTERVAL_MS);
      this.events.push({ at, run: () => this.publish(gateway) });
    }
  }

  private publish(gateway: number): void {
    this.isPending[gateway] = false;
    this.publishedAt[gateway] = this.now;
    const update = toCrashUpdate('print', this.historyOf(gateway), this.now);
    for (let step = 1; step < this.gateways; step *= 2) {
      const to = (gateway + step) % this.gateways;
      this.messages += 1;
      this.events.push({
        at: this.now + this.transit(gateway, to, this.random),
        run: () => {
          const received = fromCrashUpdate(update, this.now);
          this.update(to, mergeHistories(this.historyOf(to), received));
        },
      });
    }
  }
}

const recordRound = (history: CrashHistory, at: number): CrashHistory =>
  recordCrash(history, { knownRounds: history.rounds, sentAt: at - 20, crashedAt: at });

const GATEWAYS = 79;

/** Messages by which one change reaches all gateways. */
const MESSAGES_PER_CHANGE = GATEWAYS * Math.ceil(Math.log2(GATEWAYS));

const acrossRegions: Transit = (from, to, random) =>
  (from % 3 === to % 3 ? 1.4 : 12) + random.next() * 5;

const onBusyMachines: Transit = (_from, _to, random) => 12 + random.next() * 400;

describe('updates about a crash and an answer soon after it', () => {
  // Each hop made the crash and the answer later, each gateway ordered them anew, and the messages never ended.
  it.each([
    ['regions', acrossRegions],
    ['busy machines', onBusyMachines],
  ])('reach all gateways a few times, over %s', (_where, transit) => {
    for (const gapMs of [1, 5, 15, 50, 200]) {
      const gossip = new Gossip(GATEWAYS, transit, gapMs);
      gossip.change(1_000, 0, recordRound);
      gossip.change(1_000 + gapMs, 1, recordAnswer);
      gossip.run(3_000);
      // Each of the two changes, and a crash that is taken for later than the answer.
      expect(gossip.messages).toBeLessThanOrEqual(3 * MESSAGES_PER_CHANGE);
      expect(gossip.now).toBeLessThan(3_000);
    }
  });
});

describe('random crashes, answers and trials at many gateways', () => {
  it('end in the same verdict everywhere, without further messages', () => {
    const changes = [recordRound, recordAnswer, markTrialStarted, recordInconclusiveTrial];
    for (let seed = 1; seed <= 100; seed += 1) {
      const random = createRandom(seed);
      const gossip = new Gossip(2 + random.nextBelow(40), onBusyMachines, seed);
      const count = 2 + random.nextBelow(10);
      for (let index = 0; index < count; index += 1) {
        const apply = changes[random.nextBelow(changes.length)] ?? recordRound;
        const gateway = random.nextBelow(gossip.histories.length);
        gossip.change(1_000 + random.next() * 1_000, gateway, apply);
      }
      gossip.run(60_000);
      expect(gossip.now).toBeLessThan(20_000);
      const verdicts = gossip.histories.map(({ answers, rounds, level, trials }) =>
        [answers, rounds, level, trials].join(),
      );
      expect(new Set(verdicts).size).toBe(1);
    }
  });
});
