/** Sends one request over an HTTP client and reads the answer as text. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { StoreRequest } from '../protocol/protocol.js';
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

/** Collects an answer and resolves when it is complete. */
class TextReader implements Dispatcher.DispatchHandler {
  private status = 0;
  private headers: IncomingHttpHeaders = {};
  private readonly chunks: Buffer[] = [];

  constructor(
    private readonly resolve: (answer: TextAnswer) => void,
    private readonly reject: (error: Error) => void,
  ) {}

  /** The client recognizes handlers of the current interface by this method. */
  onRequestStart(): void {
    this.status = 0;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.status = status;
    this.headers = headers;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const body = Buffer.concat(this.chunks).toString('utf8');
    this.resolve({ status: this.status, headers: this.headers, body });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.reject(error);
  }
}

/**
 * Sends a request and resolves to its answer.
 *
 * @param timeoutMs - time for the complete answer, in milliseconds
 * @throws {@link CallTimeoutError} after that time; otherwise the client's error if there is no complete answer.
 */
export const readText = (
  client: Client,
  { method, path, body }: StoreRequest,
  timeoutMs: number,
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
      new TextReader(afterClearingTimer(resolve), afterClearingTimer(reject)),
    );
  });
