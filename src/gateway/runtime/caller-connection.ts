/**
 * One connection of a caller. HTTP/1.1 allows further requests on it before the first is answered; only the answer to the last
 * request may close the connection, since that drops the answers to all that follow (RFC 9112, section 9.6).
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { WireResponse } from './format-response.js';
import { flattenHeaders } from './headers.js';
import type { LingeringConnections } from './lingering-close.js';

/** Number of exchanges from which on no further request is read, except those in the bytes that have been read already. */
const MAX_EXCHANGES = 100;

/** An answer that closes the connection unless another request arrives before it is sent. */
interface ClosingAnswer {
  readonly outgoing: ServerResponse;
  readonly response: WireResponse;
}

const sendResponse = (
  outgoing: ServerResponse,
  { status, headers, body }: WireResponse,
  connection: readonly string[] = [],
): void => {
  const length = ['content-length', String(body.length)];
  outgoing.sendDate = false;
  outgoing.writeHead(status, [...flattenHeaders(headers), ...length, ...connection]);
  outgoing.end(body);
};

/** Keeps the exchanges of a connection in the order of their requests. */
export class CallerConnection {
  /** Called when an exchange ends; for each whose request is being received or whose answer has not been sent completely. */
  private readonly exchanges = new Map<ServerResponse, (() => void)[]>();
  /** The answer to the last request, while earlier answers are due. */
  private closingAnswer: ClosingAnswer | undefined;
  /** Refuses malformed input once the requests before it are answered. */
  private refuse: (() => void) | undefined;
  private isClosing = false;

  constructor(
    private readonly socket: Socket,
    lingering: LingeringConnections,
  ) {
    // Node's HTTP server calls this after the last answer, and would close the connection.
    socket.destroySoon = () => {
      this.isClosing = true;
      lingering.close(socket);
    };
    // Node resumes the socket whenever a request is read.
    socket.on('resume', () => this.pauseIfFull());
    // Node reports the end of a response only if it was the first of its connection.
    socket.once('close', () => [...this.exchanges.keys()].forEach((each) => this.end(each)));
  }

  /** Whether the last answer has been sent: later requests are neither run nor answered. */
  get isClosed(): boolean {
    return this.isClosing;
  }

  /** Whether a request that was received completely has no answer yet. */
  get isAnswerDue(): boolean {
    return [...this.exchanges.keys()].some((each) => each.req.complete && !this.isAnswered(each));
  }

  isAnswered(outgoing: ServerResponse): boolean {
    return this.closingAnswer?.outgoing === outgoing || outgoing.headersSent;
  }

  /** Adds the exchange of a request whose head has been received. */
  begin(outgoing: ServerResponse): void {
    const previous = this.closingAnswer;
    this.closingAnswer = undefined;
    this.exchanges.set(outgoing, []);
    outgoing.once('close', () => this.end(outgoing));
    this.pauseIfFull();
    if (previous !== undefined) {
      sendResponse(previous.outgoing, previous.response);
    }
  }

  /** Calls `onEnd` when the answer of the exchange has been sent completely, or the connection has closed. */
  onceEnded(outgoing: ServerResponse, onEnd: () => void): void {
    this.exchanges.get(outgoing)?.push(onEnd);
  }

  /**
   * Sends the final answer of an exchange.
   *
   * @param closes - whether the connection is to be closed if no request follows
   */
  answer(outgoing: ServerResponse, response: WireResponse, closes: boolean): void {
    if (outgoing.destroyed || !this.exchanges.has(outgoing)) {
      return;
    }
    if (closes && this.isLast(outgoing)) {
      this.closingAnswer = { outgoing, response };
      this.proceed();
    } else {
      sendResponse(outgoing, response);
    }
  }

  /** Calls `refuse` for malformed input when all requests before it are answered. */
  refuseAfterAnswers(refuse: () => void): void {
    this.refuse ??= refuse;
    this.proceed();
  }

  private pauseIfFull(): void {
    if (this.exchanges.size >= MAX_EXCHANGES) {
      this.socket.pause();
    }
  }

  private isLast(outgoing: ServerResponse): boolean {
    return this.refuse === undefined && [...this.exchanges.keys()].at(-1) === outgoing;
  }

  private end(outgoing: ServerResponse): void {
    const callbacks = this.exchanges.get(outgoing) ?? [];
    this.exchanges.delete(outgoing);
    if (this.exchanges.size === MAX_EXCHANGES - 1) {
      this.socket.resume();
    }
    if (this.closingAnswer?.outgoing === outgoing) {
      this.closingAnswer = undefined;
    }
    callbacks.forEach((onEnd) => onEnd());
    this.proceed();
  }

  /** Sends what closes the connection if no earlier answer is due. */
  private proceed(): void {
    const [first] = this.exchanges.keys();
    if (first !== undefined && this.closingAnswer?.outgoing === first) {
      // Requests that have arrived are read before the connection is closed to them.
      setImmediate(() => this.sendClosingAnswer(first));
    } else if (this.refuse !== undefined && (first === undefined || !first.req.complete)) {
      this.isClosing = true;
      this.refuse();
      this.refuse = undefined;
    }
  }

  private sendClosingAnswer(outgoing: ServerResponse): void {
    const answer = this.closingAnswer;
    if (answer?.outgoing !== outgoing || outgoing.destroyed) {
      return;
    }
    this.closingAnswer = undefined;
    this.isClosing = true;
    sendResponse(outgoing, answer.response, ['connection', 'close']);
  }
}
