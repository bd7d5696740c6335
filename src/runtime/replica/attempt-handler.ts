/**
 * Handles one attempt through undici's dispatch interface, its cheapest one: raw headers, no promises
 * and no streams.
 */
import type { Dispatcher } from 'undici';
import type { SendAttempt } from '../../core/effect.js';
import type { AttemptOutcome, NotRunReason, UnknownReason } from '../../protocol/leg-messages.js';
import type { Deadline } from '../deadline-queue.js';
import { readLegAnswer } from './leg-answer.js';

/** Maximum length of an answer of a replica, in bytes. */
export const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

const LIFECYCLE_HEADER = 'x-crossroad-lifecycle';
const LEAVING = 'leaving';

/** Why an attempt is abandoned at its deadline. */
export type AbandonReason = 'deadline' | 'cancelled';

/** Called once with the outcome of an attempt. */
export type AttemptListener = (handler: AttemptHandler, outcome: AttemptOutcome) => void;

const hasLeavingHeader = (rawHeaders: readonly Buffer[]): boolean => {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index];
    if (
      name?.length === LIFECYCLE_HEADER.length &&
      name.toString('latin1').toLowerCase() === LIFECYCLE_HEADER
    ) {
      return rawHeaders[index + 1]?.toString('latin1') === LEAVING;
    }
  }
  return false;
};

/** An attempt in progress. */
export class AttemptHandler implements Dispatcher.DispatchHandler {
  /** True once bytes of the request may have been sent. */
  sent = false;
  /** When and why the attempt is abandoned; the replica client sets both. */
  deadline: Deadline<AttemptHandler> | undefined;
  abandonReason: AbandonReason = 'deadline';
  private ended = false;
  private status = 0;
  private leaving = false;
  private length = 0;
  /** The chunks of the answer; most answers have only one. */
  private first: Buffer | undefined;
  private rest: Buffer[] | undefined;
  private abortRequest: ((error?: Error) => void) | undefined;

  constructor(
    readonly effect: SendAttempt,
    /** When the effect was carried out. */
    readonly startedAt: number,
    private readonly listener: AttemptListener,
  ) {}

  /** Abandons the attempt; the outcome is `not-run` if no byte was sent, otherwise `unknown`. */
  abandon(notRun: NotRunReason, unknown: UnknownReason): void {
    this.end(
      this.sent ? { type: 'unknown', reason: unknown } : { type: 'not-run', reason: notRun },
    );
    this.abortRequest?.();
  }

  /** Called right before the first byte is written. A second call would run the attempt twice. */
  onConnect(abort: (error?: Error) => void): void {
    if (this.ended || this.sent) {
      this.end({ type: 'unknown', reason: 'connection-lost' });
      abort();
      return;
    }
    this.sent = true;
    this.abortRequest = abort;
  }

  onHeaders(status: number, rawHeaders: Buffer[]): boolean {
    this.status = status;
    this.leaving = hasLeavingHeader(rawHeaders);
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.length += chunk.length;
    if (this.length > MAX_ANSWER_BYTES) {
      this.abandon('cancelled-before-sent', 'bad-answer');
      return false;
    }
    this.appendChunk(chunk);
    return true;
  }

  onComplete(): void {
    if (this.ended) {
      return;
    }
    const answer = { status: this.status, body: this.readBody(), leaving: this.leaving };
    this.end(readLegAnswer(answer, this.effect.leg.attempt));
  }

  onError(error: Error): void {
    if (!this.sent) {
      this.end({ type: 'not-run', reason: 'connect-failed' });
      return;
    }
    const isMalformed = error.name === 'HTTPParserError';
    const reason = isMalformed || this.status !== 0 ? 'bad-answer' : 'connection-lost';
    this.end({ type: 'unknown', reason });
  }

  private appendChunk(chunk: Buffer): void {
    if (this.first === undefined) {
      this.first = chunk;
    } else {
      this.rest ??= [];
      this.rest.push(chunk);
    }
  }

  private readBody(): string {
    if (this.first === undefined) {
      return '';
    }
    const whole = this.rest === undefined ? this.first : Buffer.concat([this.first, ...this.rest]);
    return whole.toString('utf8');
  }

  private end(outcome: AttemptOutcome): void {
    if (!this.ended) {
      this.ended = true;
      this.first = undefined;
      this.rest = undefined;
      this.listener(this, outcome);
    }
  }
}
