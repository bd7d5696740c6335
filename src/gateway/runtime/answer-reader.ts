/**
 * Reads one answer of a replica and checks that it is complete and belongs to the request. An answer that is
 * truncated, malformed, encoded or meant for another request counts as a failed attempt.
 */
import type { Dispatcher } from 'undici';
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';
import type { AttemptProblem, AttemptResult, Header, ReplicaAnswer } from '../model/request.js';
import type { GatewayProtocol } from '../protocol/protocol.js';
import type { AnswerMemory, HeldAnswer } from './answer-memory.js';
import { BodyBuffer } from './body-buffer.js';
import { type BrokenExchange, problemOfBreak } from './broken-exchange.js';
import { findHeader } from './headers.js';
import { exceedsOverhead, InterimAnswers, isFragmented, isMalformed } from './answer-limits.js';
import type { ReplicaConnection } from './replica-connection.js';

/** Status of a replica that is not the requested instance. */
const MISDIRECTED_STATUS = 421;

/** Statuses below this one, other than those of interim answers, are signed by the replica. */
const FIRST_SERVER_ERROR_STATUS = 500;

type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

const toHeaders = (headers: AnswerHeaders): Header[] =>
  Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) {
      return [];
    }
    return Array.isArray(value) ? value.map((each) => ({ name, value: each })) : [{ name, value }];
  });

/** How an exchange over a connection ended. */
export interface ExchangeEnd {
  readonly result: AttemptResult;
  /** The connection may be used again. */
  readonly reusable: boolean;
}

/** Options of a reader. */
export interface AnswerReaderOptions {
  /** Identifier of the request, which the answer must echo if it names one. */
  readonly requestId: string;
  /** Class of the request. */
  readonly rank: number;
  /** False for HEAD, whose answers have the length of a body that they do not have. */
  readonly expectsBody: boolean;
  /** Maximum size of the body, in bytes. */
  readonly maxAnswerBytes: number;
  readonly protocol: GatewayProtocol;
  readonly memory: AnswerMemory;
  readonly clock: MonotonicClock;
}

/** Handles the answer of one request. */
export class AnswerReader implements Dispatcher.DispatchHandler, HeldAnswer {
  private status = 0;
  private headers: Header[] = [];
  private readonly body = new BodyBuffer();
  private readonly interimAnswers = new InterimAnswers();
  private sentAt: number | undefined;
  private isEnded = false;
  private abortReason: AttemptProblem | undefined;

  constructor(
    private readonly connection: ReplicaConnection,
    private readonly options: AnswerReaderOptions,
    private readonly onEnd: (end: ExchangeEnd) => void,
  ) {}

  get rank(): number {
    return this.options.rank;
  }

  /** Gives the answer up, since the answers that are being read need too much memory. */
  giveUp(): void {
    this.abort('no-memory');
  }

  /**
   * Ends the exchange; the receiver of `onEnd` closes the connection. The HTTP client's own abort is not used once the
   * request has been sent: if an answer without a length is aborted, the client completes it a second time when the
   * connection closes, and a failed assertion terminates the process (undici 7.30, `Request.onComplete` from
   * `Parser.finish`).
   */
  abort(reason: AttemptProblem): void {
    this.abortReason ??= reason;
    this.end({ result: this.failure(reason), reusable: false });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.isEnded) {
      controller.abort(new Error('the attempt was aborted before it was sent'));
      return;
    }
    this.sentAt = this.options.clock.now();
    this.connection.received.observe((receivedBytes) => this.checkOverhead(receivedBytes));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: AnswerHeaders,
  ): void {
    this.status = status;
    this.connection.hasAnswered = true;
    this.headers = toHeaders(headers);
    const length = Number(findHeader(this.headers, 'content-length') ?? 0);
    const isTooLong = this.options.expectsBody && length > this.options.maxAnswerBytes;
    if (this.interimAnswers.exceedsWith(status) || isTooLong) {
      this.abort('endless-answer');
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isEnded) {
      return;
    }
    if (this.body.size + chunk.length > this.options.maxAnswerBytes) {
      this.abort('endless-answer');
      return;
    }
    this.body.append(chunk);
    if (isFragmented(this.body.chunks, this.body.size)) {
      this.abort('endless-answer');
      return;
    }
    this.options.memory.add(this, chunk.length);
  }

  onResponseEnd(): void {
    this.end(this.readExchangeEnd());
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.end({ result: this.failure(this.problemOfError(error)), reusable: false });
  }

  /** Ends an answer that consists of too little but heads, interim answers and framing. */
  private checkOverhead(receivedBytes: number): void {
    if (!this.isEnded && exceedsOverhead(receivedBytes, this.body.size)) {
      this.abort('endless-answer');
    }
  }

  private problemOfError(error: Error): AttemptProblem {
    if (this.abortReason !== undefined) {
      return this.abortReason;
    }
    if (isMalformed(error)) {
      return 'bad-answer';
    }
    return problemOfBreak(this.describeBreak());
  }

  private describeBreak(): BrokenExchange {
    const { received, hasAnswered: isReused, connectMs } = this.connection;
    const { sentAt } = this;
    return sentAt === undefined
      ? { hasBegun: false, isReused, elapsedMs: 0, connectMs }
      : {
          hasBegun: received.count > 0,
          isReused,
          elapsedMs: this.options.clock.now() - sentAt,
          connectMs,
        };
  }

  private failure(problem: AttemptProblem): AttemptResult {
    return { type: 'failed', problem, mayHaveRun: true };
  }

  private end(end: ExchangeEnd): void {
    if (!this.isEnded) {
      this.isEnded = true;
      this.options.memory.release(this);
      this.body.clear();
      this.onEnd(end);
    }
  }

  private readExchangeEnd(): ExchangeEnd {
    const problem = this.problemOfAnswer();
    if (problem !== undefined) {
      return { result: this.failure(problem), reusable: false };
    }
    const closing = !this.hasLength() || this.requestsClose();
    return { result: this.readResult(closing), reusable: !closing };
  }

  /** Whether the answer has a length or is chunked; otherwise it ends with its connection. */
  private hasLength(): boolean {
    const length = findHeader(this.headers, 'content-length');
    return length !== undefined || findHeader(this.headers, 'transfer-encoding') !== undefined;
  }

  private requestsClose(): boolean {
    return (findHeader(this.headers, 'connection') ?? '').toLowerCase().includes('close');
  }

  /** Returns why an answer is unusable. An answer that ends with its connection is truncated if that was reset. */
  private problemOfAnswer(): AttemptProblem | undefined {
    const { headers } = this.options.protocol;
    if (this.connection.isBroken) {
      return 'cut-off';
    }
    const echoed = findHeader(this.headers, headers.requestId);
    if (echoed !== undefined && echoed !== this.options.requestId) {
      return 'foreign-answer';
    }
    const encoding = findHeader(this.headers, 'content-encoding');
    if (encoding !== undefined && encoding !== 'identity') {
      return 'bad-answer';
    }
    return this.lacksSignature() ? 'unsigned-answer' : undefined;
  }

  /**
   * Whether the answer is a success, a redirection or a client error without a signature. Replicas sign the answers of
   * their service; an unsigned one comes from the replica's HTTP server or from another program at its address. Forwarded
   * to the caller, it would count as the service's, and a refusal would reject a valid request for good.
   */
  private lacksSignature(): boolean {
    const mustBeSigned = this.status < FIRST_SERVER_ERROR_STATUS && !this.hasNotRun();
    return mustBeSigned && this.signature() === undefined;
  }

  private isWrongInstance(): boolean {
    return this.status === MISDIRECTED_STATUS;
  }

  /** Whether the replica reports that it has not run the request. */
  private hasNotRun(): boolean {
    const { notExecuted } = this.options.protocol.headers;
    return this.isWrongInstance() || findHeader(this.headers, notExecuted) !== undefined;
  }

  private signature(): string | undefined {
    return findHeader(this.headers, this.options.protocol.headers.signature);
  }

  private readResult(closing: boolean): AttemptResult {
    const { headers, readLoad } = this.options.protocol;
    const loadText = findHeader(this.headers, headers.load);
    const load = loadText === undefined ? undefined : readLoad(loadText);
    const loadField = load === undefined ? {} : { load };
    if (this.hasNotRun()) {
      const reason = this.isWrongInstance() ? 'wrong-instance' : 'full';
      return { type: 'refused', reason, ...loadField };
    }
    return { type: 'answered', answer: this.readAnswer(), closing, ...loadField };
  }

  private readAnswer(): ReplicaAnswer {
    const signature = this.signature();
    return {
      status: this.status,
      headers: this.headers,
      body: this.body.toBuffer(),
      ...(signature !== undefined && { signature }),
    };
  }
}
