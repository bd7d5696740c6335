/** Builds the answers of a replica stand-in and corrupts the shares of them set by its faults. */
import type { Random } from '../../core/random.js';
import type { ReplicaLoad } from '../../protocol/leg-messages.js';
import { buildItems } from './answer-content.js';
import type { AnswerDamage, LegAnswer, LegRequest } from './leg-exchange.js';
import type { ReplicaFaults } from './replica-faults.js';

/** An answer and its damage in transit. */
export interface WrittenAnswer {
  readonly answer: LegAnswer;
  readonly damage: AnswerDamage;
}

/** Builds answers; keeps the previous one to return it to another request as a wrong answer. */
export class AnswerWriter {
  private lastAnswer: LegAnswer | undefined;

  constructor(private readonly random: Random) {}

  /** Builds the answer to `leg`, with `load` as the reported load. */
  write(leg: LegRequest, faults: ReplicaFaults, load: ReplicaLoad): WrittenAnswer {
    const own: LegAnswer = {
      request: leg.request,
      attempt: leg.attempt,
      shard: leg.shard,
      snapshot: leg.snapshot,
      items: buildItems(leg),
      load,
    };
    const answer = this.drawShare(faults.wrongAnswerShare) ? this.foreignAnswer(own) : own;
    this.lastAnswer = own;
    return { answer, damage: this.drawDamage(faults) };
  }

  /** Returns the previous request's answer, or that of a fictitious request if there is none. */
  private foreignAnswer(own: LegAnswer): LegAnswer {
    return this.lastAnswer ?? { ...own, request: `${own.request}-foreign`, attempt: 'foreign' };
  }

  private drawDamage(faults: ReplicaFaults): AnswerDamage {
    if (this.drawShare(faults.truncatedShare)) {
      return 'truncated';
    }
    return this.drawShare(faults.oversizedShare) ? 'oversized' : 'none';
  }

  private drawShare(share: number): boolean {
    return share > 0 && this.random.next() < share;
  }
}
