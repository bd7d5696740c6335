/** Peers that failed, and whether they have answered promptly often enough since to be trusted again. */
import type { PeerRecord } from '../../model/peer-record.js';

/** A suspect that answers a question so soon is trusted again, in milliseconds. */
const PROMPT_MS = 60;

/** Prompt answers in a row after which any peer is trusted again. */
const MAX_PROMPT_ANSWERS = 8;

/** Failures so far apart have nothing to do with each other, in milliseconds. */
const FAILURE_MEMORY_MS = 15_000;

/** A peer that is asked whether it lives. */
interface Suspect {
  readonly peer: PeerRecord;
  /** When it was last asked, in milliseconds on the process's clock; minus infinity before the first time. */
  pingedAt: number;
  /** Prompt answers in a row, and how many make it trusted. */
  promptAnswers: number;
  readonly wanted: number;
}

interface Failures {
  readonly at: number;
  readonly count: number;
}

/** The suspects of one process. Times are milliseconds on its monotonic clock. */
export class SuspectChecks {
  private readonly suspects = new Map<string, Suspect>();
  private readonly failures = new Map<string, Failures>();

  /** Begins to ask a peer; one that is asked already is left as it is. */
  add(peer: PeerRecord, now: number): void {
    if (!this.suspects.has(peer.name)) {
      const wanted = this.requiredAnswers(peer.name, now);
      const pingedAt = Number.NEGATIVE_INFINITY;
      this.suspects.set(peer.name, { peer, wanted, pingedAt, promptAnswers: 0 });
    }
  }

  /** All peers that are to be asked. */
  peers(): readonly PeerRecord[] {
    return [...this.suspects.values()].map(({ peer }) => peer);
  }

  /** A question was sent. */
  recordPing(peer: string, now: number): void {
    const suspect = this.suspects.get(peer);
    if (suspect !== undefined) {
      suspect.pingedAt = now;
    }
  }

  /** Takes the answer to a question; true when the peer is trusted from now on. */
  recordPong(peer: string, isServing: boolean, at: number): boolean {
    const suspect = this.suspects.get(peer);
    if (suspect === undefined) {
      return false;
    }
    const isPrompt = isServing && at - suspect.pingedAt <= PROMPT_MS;
    suspect.promptAnswers = isPrompt ? suspect.promptAnswers + 1 : 0;
    return suspect.promptAnswers >= suspect.wanted && this.suspects.delete(peer);
  }

  /** A peer that fails again and again must answer promptly more often: doubled each time. */
  private requiredAnswers(peer: string, now: number): number {
    const known = this.failures.get(peer);
    const isRecent = known !== undefined && now - known.at < FAILURE_MEMORY_MS;
    const count = isRecent ? known.count + 1 : 1;
    this.failures.set(peer, { at: now, count });
    return Math.min(MAX_PROMPT_ANSWERS, 2 ** (count - 1));
  }
}
