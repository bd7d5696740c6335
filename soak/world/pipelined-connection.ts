/** A caller's connection on which requests are sent without waiting for the answers to earlier ones. */
import { connect, type Socket } from 'node:net';
import { platformProtocol } from '../../platform/protocol.js';
import type { Outcome } from '../model/observations.js';
import {
  type CallerQuery,
  type CallerResult,
  describeAnswer,
  EXPIRY_SLACK_MS,
} from './caller-connection.js';

const HEADERS = platformProtocol.headers;

const LINE_END = '\r\n';
const HEAD_END = `${LINE_END}${LINE_END}`;

/** Position of the status in the first line of an answer. */
const STATUS_START = 9;
const STATUS_END = 12;

/** Ends a request that has been sent. */
type FinishRequest = (outcome: Outcome) => void;

interface AnswerHead {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string>>;
}

const formatRequest = (host: string, query: CallerQuery): string => {
  const { method, path, id, budgetMs, body, apiKey } = query;
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `host: ${host}`,
    `${HEADERS.requestId}: ${id}`,
    `${HEADERS.timeBudget}: ${budgetMs}`,
    ...(apiKey === undefined ? [] : [`${HEADERS.apiKey}: ${apiKey}`]),
    ...(method === 'GET' ? [] : [`content-length: ${Buffer.byteLength(body)}`]),
  ];
  return `${lines.join(LINE_END)}${HEAD_END}${body}`;
};

/** Reads the head of an answer; headers that stand several times are joined by commas. */
const parseHead = (text: string): AnswerHead => {
  const [first = '', ...lines] = text.split(LINE_END);
  const headers: Record<string, string> = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    const name = line.slice(0, colon).toLowerCase();
    const value = line.slice(colon + 1).trim();
    const earlier = headers[name];
    headers[name] = earlier === undefined ? value : `${earlier}, ${value}`;
  }
  return { statusCode: Number(first.slice(STATUS_START, STATUS_END)), headers };
};

/**
 * A connection to a gateway, with a delay in each direction. Its answers belong to the requests in the order in which these
 * were sent.
 */
export class PipelinedConnection {
  private readonly socket: Socket;
  /** Requests without an answer, in the order in which they were sent. */
  private readonly pending: FinishRequest[] = [];
  private bytes = Buffer.alloc(0);
  private isEstablished = false;
  /** Whether the connection is closed, or an answer has said that it will be. */
  private isClosing = false;
  /** Why the caller has closed the connection; undefined unless it has. */
  private closeReason: 'left' | 'expired' | undefined;

  /** Connects to a port on loopback; whatever is sent or received takes `delayMs` milliseconds. */
  constructor(
    port: number,
    private readonly delayMs: number,
  ) {
    this.socket = connect({ host: '127.0.0.1', port, noDelay: true });
    this.socket.on('connect', () => {
      this.isEstablished = true;
    });
    // The `close` handler ends the requests; callers do not need the cause.
    this.socket.on('error', () => undefined);
    this.socket.on('data', (chunk: Buffer) => this.later(() => this.receive(chunk)));
    this.socket.on('close', () => this.later(() => this.handleClose()));
  }

  /** Whether requests may be sent, as far as the caller can know. */
  get isUsable(): boolean {
    return !this.isClosing;
  }

  /** Sends a request. Never rejects: failures are outcomes. */
  send(host: string, query: CallerQuery): Promise<CallerResult> {
    const sentAt = performance.now();
    return new Promise((resolve) => {
      const expiry = setTimeout(() => this.closeFor('expired'), query.budgetMs + EXPIRY_SLACK_MS);
      const finish: FinishRequest = (outcome) => {
        clearTimeout(expiry);
        resolve({ sentAt, endedAt: performance.now(), outcome });
      };
      this.pending.push(finish);
      const text = formatRequest(host, query);
      this.later(() => {
        if (this.socket.writable) {
          this.socket.write(text);
        }
      });
    });
  }

  /** Closes the connection before its requests have been answered. */
  leave(): void {
    this.closeFor('left');
  }

  /** Closes the connection, on which no request is in progress. */
  close(): void {
    this.socket.destroy();
  }

  /** Runs an action after the delay; timers of the same duration expire in the order of their creation. */
  private later(action: () => void): void {
    setTimeout(action, this.delayMs);
  }

  private closeFor(reason: 'left' | 'expired'): void {
    this.closeReason ??= reason;
    this.later(() => this.socket.destroy());
    this.handleClose();
  }

  private handleClose(): void {
    this.isClosing = true;
    const type = this.closeReason ?? (this.isEstablished ? 'cut' : 'unreachable');
    this.pending.splice(0).forEach((finish) => finish({ type }));
  }

  private receive(chunk: Buffer): void {
    this.bytes = Buffer.concat([this.bytes, chunk]);
    while (this.readAnswer()) {
      // Each call takes one answer out of the received bytes.
    }
  }

  /** Reads the next answer; returns whether it was complete. */
  private readAnswer(): boolean {
    const headEnd = this.bytes.indexOf(HEAD_END);
    if (headEnd < 0) {
      return false;
    }
    const head = parseHead(this.bytes.toString('latin1', 0, headEnd));
    const bodyStart = headEnd + HEAD_END.length;
    const bodyEnd = bodyStart + Number(head.headers['content-length'] ?? 0);
    if (this.bytes.length < bodyEnd) {
      return false;
    }
    const body = this.bytes.subarray(bodyStart, bodyEnd);
    this.bytes = this.bytes.subarray(bodyEnd);
    this.isClosing ||= head.headers['connection'] === 'close';
    this.pending.shift()?.(describeAnswer(head, body));
    return true;
  }
}
