/** Tracks suspected peers and decides when they have answered promptly often enough to be trusted again. */
import type { PeerRecord } from '../../model/peer-record.js';

/** An answer to a ping within this time is prompt, in milliseconds. */
const PROMPT_MS = 60;

/** Maximum number of consecutive prompt answers that is required to trust a peer again. */
const MAX_PROMPT_ANSWERS = 8;

/** A failure counts as repeated if it follows the previous one within this time, in milliseconds. */
const FAILURE_MEMORY_MS = 15_000;

/** A suspected peer that is pinged. */
interface Suspect {
  readonly peer: PeerRecord;
  /** When the last ping was sent, in milliseconds on the process's clock; minus infinity before the first one. */
  pingedAt: number;
  /** Number of consecutive prompt answers, and the number required to trust it. */
  promptAnswers: number;
  readonly wanted: number;
}

interface Failures {
  readonly at: number;
  readonly count: number;
}

/** The suspected peers of one process. Times are milliseconds on its monotonic clock. */
export class SuspectChecks {
  private readonly suspects = new Map<string, Suspect>();
  private readonly failures = new Map<string, Failures>();

  /** Adds a suspected peer; has no effect if it is already one. */
  add(peer: PeerRecord, now: number): void {
    if (!this.suspects.has(peer.name)) {
      const wanted = this.requiredAnswers(peer.name, now);
      const pingedAt = Number.NEGATIVE_INFINITY;
      this.suspects.set(peer.name, { peer, wanted, pingedAt, promptAnswers: 0 });
    }
  }

  /** Returns all suspected peers. */
  peers(): readonly PeerRecord[] {
    return [...this.suspects.values()].map(({ peer }) => peer);
  }

  /** Records that a ping was sent. */
  recordPing(peer: string, now: number): void {
    const suspect = this.suspects.get(peer);
    if (suspect !== undefined) {
      suspect.pingedAt = now;
    }
  }

  /** Records the answer to a ping; returns true if the peer is trusted from now on. */
  recordPong(peer: string, isServing: boolean, at: number): boolean {
    const suspect = this.suspects.get(peer);
    if (suspect === undefined) {
      return false;
    }
    const isPrompt = isServing && at - suspect.pingedAt <= PROMPT_MS;
    suspect.promptAnswers = isPrompt ? suspect.promptAnswers + 1 : 0;
    return suspect.promptAnswers >= suspect.wanted && this.suspects.delete(peer);
  }

  /** Records a failure and returns how many prompt answers are required; repeated failures double the number. */
  private requiredAnswers(peer: string, now: number): number {
    const known = this.failures.get(peer);
    const isRecent = known !== undefined && now - known.at < FAILURE_MEMORY_MS;
    const count = isRecent ? known.count + 1 : 1;
    this.failures.set(peer, { at: now, count });
    return Math.min(MAX_PROMPT_ANSWERS, 2 ** (count - 1));
  }
}
