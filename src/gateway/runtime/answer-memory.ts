/**
 * Bounds the memory of all answers that are being read at the same time. While they need more, the answers that hold more than
 * an equal share are given up first: those of the least urgent class, and the largest among them.
 */

/** An answer that is being read. */
export interface HeldAnswer {
  /** Class of its request; 0 is the most urgent. */
  readonly rank: number;
  /** Ends the attempt, which releases the memory. */
  giveUp(): void;
}

/** The memory of the answers that are being read. */
export class AnswerMemory {
  private readonly held = new Map<HeldAnswer, number>();
  private total = 0;

  /** @param limitBytes - maximum of all answers together, in bytes */
  constructor(private readonly limitBytes: number) {}

  /** Number of bytes held by all answers. */
  get heldBytes(): number {
    return this.total;
  }

  /** Adds bytes to those that an answer holds; other answers or this one may be given up for them. */
  add(answer: HeldAnswer, bytes: number): void {
    this.held.set(answer, (this.held.get(answer) ?? 0) + bytes);
    this.total += bytes;
    while (this.total > this.limitBytes) {
      const victim = this.findVictim();
      if (victim === undefined) {
        return;
      }
      victim.giveUp();
      this.release(victim);
    }
  }

  /** Releases all bytes of an answer that has been read or given up. */
  release(answer: HeldAnswer): void {
    this.total -= this.held.get(answer) ?? 0;
    this.held.delete(answer);
  }

  private findVictim(): HeldAnswer | undefined {
    const share = this.total / this.held.size;
    let victim: HeldAnswer | undefined;
    let victimBytes = 0;
    for (const [answer, bytes] of this.held) {
      const isLessUrgent = victim === undefined || answer.rank > victim.rank;
      const isLarger = answer.rank === victim?.rank && bytes > victimBytes;
      if (bytes >= share && (isLessUrgent || isLarger)) {
        victim = answer;
        victimBytes = bytes;
      }
    }
    return victim;
  }
}
