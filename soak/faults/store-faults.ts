/** Faults of the store: outages, lost answers, restores from backups, and watches that are delayed, silent or reset. */
import { setTimeout as pause } from 'node:timers/promises';
import { match } from 'ts-pattern';
import type { Random } from '../../src/core/random.js';
import type { Fault } from '../model/schedule.js';
import { beginDisturbance } from '../world/recorder.js';
import type { SoakWorld } from '../world/soak-world.js';

/** Time of the configuration change, as a share of the time during which watches are silent. */
const CHANGE_AFTER_SHARE = 0.4;

/** A fault of the store that affects all gateways. */
export type StoreFault = Extract<
  Fault,
  {
    type:
      | 'delay-watches'
      | 'mute-watches'
      | 'change-and-forget'
      | 'store-down'
      | 'store-loses-answers'
      | 'store-returns';
  }
>;

/** Injects faults of the store, one at a time. */
export class StoreFaults {
  private busy: Promise<void> = Promise.resolve();

  constructor(
    private readonly world: SoakWorld,
    private readonly random: Random,
  ) {}

  /** Injects a fault after the previous one is over; resolves when it is over itself. */
  execute(fault: StoreFault): Promise<void> {
    this.busy = this.busy.then(async () => {
      const scopes = [{ type: 'store' }] as const;
      const end = beginDisturbance(this.world.observations, scopes, fault.type);
      await this.apply(fault);
      end();
    });
    return this.busy;
  }

  private apply(fault: StoreFault): Promise<void> {
    const { store } = this.world;
    return match(fault)
      .with({ type: 'delay-watches' }, async ({ delayMs, forMs }) => {
        store.watchDelayMs = delayMs;
        await pause(forMs);
        store.watchDelayMs = 0;
        // Answers that were delayed before the end still arrive late.
        await pause(delayMs);
      })
      .with({ type: 'mute-watches' }, async ({ forMs }) => {
        store.muteWatches(true);
        await pause(forMs);
        store.muteWatches(false);
      })
      .with({ type: 'change-and-forget' }, ({ muteMs }) => this.changeAndDiscardHistory(muteMs))
      .with({ type: 'store-down' }, async ({ outage, forMs }) => {
        store.mode = outage;
        store.cutConnections();
        await pause(forMs);
        store.mode = 'serving';
      })
      .with({ type: 'store-loses-answers' }, async ({ forMs }) => {
        store.mode = 'losing';
        await pause(forMs);
        store.mode = 'serving';
      })
      .with({ type: 'store-returns' }, (returns) => this.restoreBackup(returns))
      .exhaustive();
  }

  private async restoreBackup({
    outage,
    copyAgeMs,
    awayMs,
    rewriteMs,
  }: Extract<StoreFault, { type: 'store-returns' }>): Promise<void> {
    const { store, storeBackups, operator, replicas } = this.world;
    const backup = storeBackups.find(copyAgeMs);
    store.mode = outage;
    store.cutConnections();
    await pause(awayMs);
    store.restore(backup);
    store.mode = 'serving';
    const rewritten = replicas.rewriteEntries(rewriteMs, this.random);
    await pause(rewriteMs);
    operator.rewriteNewest();
    await rewritten;
  }

  /** Mutes watches during a configuration change, then discards the history that they need to resume. */
  private async changeAndDiscardHistory(muteMs: number): Promise<void> {
    const { store, operator } = this.world;
    store.muteWatches(true);
    await pause(muteMs * CHANGE_AFTER_SHARE);
    operator.configure();
    await pause(muteMs * (1 - CHANGE_AFTER_SHARE));
    store.discardHistory();
    store.muteWatches(false);
  }
}
