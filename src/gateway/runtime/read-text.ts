/** Sends one request over an HTTP client and reads the answer as text. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { StoreRequest } from '../protocol/protocol.js';
import {
  exceedsOverhead,
  InterimAnswers,
  isFragmented,
  MAX_STORE_ANSWER_BYTES,
} from './answer-limits.js';
import { BodyBuffer } from './body-buffer.js';
import type { ReceivedBytes } from './received-bytes.js';
import type { Client } from './undici-client.js';

/** A complete answer. */
export interface TextAnswer {
  readonly status: number;
  /** Headers by their names in lower case. */
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** The call was not answered in time. */
export class CallTimeoutError extends Error {
  override readonly name = 'CallTimeoutError';
}

/** The answer exceeds a limit on its size. */
export class EndlessAnswerError extends Error {
  override readonly name = 'EndlessAnswerError';
}

/** Collects an answer and resolves when it is complete. */
class TextReader implements Dispatcher.DispatchHandler {
  private status = 0;
  private headers: IncomingHttpHeaders = {};
  private readonly body = new BodyBuffer();
  private readonly interimAnswers = new InterimAnswers();

  constructor(
    private readonly received: () => ReceivedBytes | undefined,
    private readonly resolve: (answer: TextAnswer) => void,
    private readonly reject: (error: Error) => void,
  ) {}

  /** The client recognizes handlers of the current interface by this method. */
  onRequestStart(): void {
    this.status = 0;
    this.received()?.observe((receivedBytes) => {
      if (exceedsOverhead(receivedBytes, this.body.size)) {
        this.refuse();
      }
    });
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.status = status;
    this.headers = headers;
    if (this.interimAnswers.exceedsWith(status)) {
      this.refuse();
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    const { size, chunks } = this.body;
    if (size + chunk.length > MAX_STORE_ANSWER_BYTES || isFragmented(chunks, size)) {
      this.refuse();
    } else {
      this.body.append(chunk);
    }
  }

  onResponseEnd(): void {
    const body = this.body.toBuffer().toString('utf8');
    this.resolve({ status: this.status, headers: this.headers, body });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.reject(error);
  }

  /** Rejects the answer; the caller closes the connection. */
  private refuse(): void {
    this.reject(new EndlessAnswerError('the answer exceeds the limit on its size'));
  }
}

/**
 * Sends a request and resolves to its answer.
 *
 * @param timeoutMs - time for the complete answer, in milliseconds
 * @param received - returns the bytes received over the client's connection; undefined if it has none
 * @throws {@link EndlessAnswerError} if the answer is too large; {@link CallTimeoutError} after that time; otherwise the client's error if there is no complete answer.
 */
export const readText = (
  client: Client,
  { method, path, body }: StoreRequest,
  timeoutMs: number,
  received: () => ReceivedBytes | undefined,
): Promise<TextAnswer> =>
  new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new CallTimeoutError(`no answer within ${timeoutMs} ms`)),
      timeoutMs,
    );
    const afterClearingTimer = <Value>(
      settle: (value: Value) => void,
    ): ((value: Value) => void) => {
      return (value) => {
        clearTimeout(timer);
        settle(value);
      };
    };
    const headers = body === undefined ? [] : ['content-type', 'application/json'];
    const request = { method, path, headers, body: body ?? null };
    client.dispatch(
      request,
      new TextReader(received, afterClearingTimer(resolve), afterClearingTimer(reject)),
    );
  });
