/** Queues of legs at a feeder for one replica; they determine the order in which legs are sent. */
import type { PartnerId } from '../identifiers.js';
import { DeadlineHeap } from '../deadline-heap.js';
import type { HeldAttempt } from './state.js';

/** A queue of attempts; it maintains `isQueued` of its attempts. */
export interface LegQueue {
  /** Number of queued attempts. */
  readonly size: number;
  /** Returns the number of queued attempts of one partner; a first-come queue counts all partners. */
  sizeOf(partner: PartnerId): number;
  add(held: HeldAttempt): void;
  /** Removes and returns the next attempt in the queue's order. */
  take(): HeldAttempt | undefined;
  /** Removes a cancelled attempt. */
  remove(held: HeldAttempt): void;
}

/** Creates a queue in order of arrival. */
export const createFirstComeQueue = (): LegQueue => {
  const waiting = new Set<HeldAttempt>();
  const removeHeld = (held: HeldAttempt): void => {
    held.isQueued = false;
    waiting.delete(held);
  };
  return {
    get size() {
      return waiting.size;
    },
    sizeOf: () => waiting.size,
    add(held) {
      held.isQueued = true;
      waiting.add(held);
    },
    take() {
      for (const held of waiting) {
        removeHeld(held);
        return held;
      }
      return undefined;
    },
    remove: removeHeld,
  };
};

interface RowQueue {
  readonly heap: DeadlineHeap<HeldAttempt>;
  weight: number;
  /** Service received, divided by the weight, as in stride scheduling. */
  pass: number;
}

interface PartnerQueue {
  readonly partner: PartnerId;
  readonly rows: Map<string, RowQueue>;
  share: number;
  pass: number;
  /** Pass of the row served last; a row that was empty resumes from there. */
  rowPass: number;
  size: number;
}

const getRowQueue = (partnerQueue: PartnerQueue, held: HeldAttempt): RowQueue => {
  const { row, weight } = held.class;
  const known = partnerQueue.rows.get(row);
  if (known !== undefined) {
    known.weight = weight;
    return known;
  }
  const created = { heap: new DeadlineHeap<HeldAttempt>(), weight, pass: 0 };
  partnerQueue.rows.set(row, created);
  return created;
};

const selectRow = (partnerQueue: PartnerQueue): RowQueue | undefined => {
  let least: RowQueue | undefined;
  for (const row of partnerQueue.rows.values()) {
    if (row.heap.size > 0 && (least === undefined || row.pass < least.pass)) {
      least = row;
    }
  }
  return least;
};

/** Number of legs that are served first when a partner without queued legs becomes active again. */
const CREDIT_LEGS = 16;

/**
 * A queue with weighted fair shares. It selects the partner by its share of the pool, then the
 * partner's row by weight, then the leg with the earliest deadline. Others use the share of a partner
 * without queued legs. When such a partner becomes active again, it gets a credit of `CREDIT_LEGS`, so
 * that a burst within its share is sent before the queued legs of the others.
 */
class FairQueue implements LegQueue {
  private readonly partnerQueues = new Map<PartnerId, PartnerQueue>();
  private pass = 0;
  size = 0;

  sizeOf(partner: PartnerId): number {
    return this.partnerQueues.get(partner)?.size ?? 0;
  }

  add(held: HeldAttempt): void {
    const partnerQueue = this.getPartnerQueue(held);
    const row = getRowQueue(partnerQueue, held);
    if (partnerQueue.size === 0) {
      partnerQueue.pass = Math.max(partnerQueue.pass, this.pass - CREDIT_LEGS / partnerQueue.share);
    }
    if (row.heap.size === 0) {
      row.pass = Math.max(row.pass, partnerQueue.rowPass);
    }
    held.isQueued = true;
    row.heap.add(held);
    partnerQueue.size += 1;
    this.size += 1;
  }

  take(): HeldAttempt | undefined {
    const partnerQueue = this.selectPartner();
    const row = partnerQueue && selectRow(partnerQueue);
    const held = row?.heap.take();
    if (partnerQueue === undefined || row === undefined || held === undefined) {
      return undefined;
    }
    held.isQueued = false;
    this.pass = partnerQueue.pass;
    partnerQueue.rowPass = row.pass;
    partnerQueue.pass += 1 / partnerQueue.share;
    row.pass += 1 / row.weight;
    partnerQueue.size -= 1;
    this.size -= 1;
    return held;
  }

  remove(held: HeldAttempt): void {
    const partnerQueue = this.partnerQueues.get(held.class.partner);
    const row = partnerQueue?.rows.get(held.class.row);
    if (partnerQueue === undefined || row === undefined || !held.isQueued) {
      return;
    }
    held.isQueued = false;
    row.heap.remove();
    partnerQueue.size -= 1;
    this.size -= 1;
  }

  private getPartnerQueue(held: HeldAttempt): PartnerQueue {
    const { partner, share } = held.class;
    const known = this.partnerQueues.get(partner);
    if (known !== undefined) {
      known.share = share;
      return known;
    }
    const rows = new Map<string, RowQueue>();
    const created = { partner, rows, share, pass: 0, rowPass: 0, size: 0 };
    this.partnerQueues.set(partner, created);
    return created;
  }

  private selectPartner(): PartnerQueue | undefined {
    let least: PartnerQueue | undefined;
    for (const partnerQueue of this.partnerQueues.values()) {
      if (partnerQueue.size > 0 && (least === undefined || partnerQueue.pass < least.pass)) {
        least = partnerQueue;
      }
    }
    return least;
  }
}

/** Creates a queue with weighted fair shares. */
export const createFairQueue = (): LegQueue => new FairQueue();
