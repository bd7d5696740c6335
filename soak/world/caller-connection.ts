/** Sends one request as a caller does, and tells how it ended. */
import { type Agent, request as sendRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { platformProtocol } from '../../platform/protocol.js';
import type { Outcome } from '../model/observations.js';
import { digestOf } from './answer-body.js';

const HEADERS = platformProtocol.headers;

/** How long a caller waits for an answer after its deadline, in milliseconds. */
const EXPIRY_SLACK_MS = 1_500;

/** What a caller sends. */
export interface CallerQuery {
  readonly id: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly budgetMs: number;
  /** The caller closes the connection after this time, in milliseconds. */
  readonly leavesAfterMs?: number;
  /** Keeps connections; absent for a connection of its own. */
  readonly agent?: Agent;
}

/** How and when a request ended. */
export interface CallerResult {
  /** When the connection was up and the request was written. */
  readonly sentAt: number;
  readonly endedAt: number;
  readonly outcome: Outcome;
}

const textOf = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value.join(',') : value;

const listOf = (value: string | string[] | undefined): readonly string[] => {
  const text = textOf(value)?.trim() ?? '';
  return text === '' ? [] : text.split(',').map((each) => each.trim());
};

const describeAnswer = ({ statusCode, headers }: IncomingMessage, body: Buffer): Outcome => {
  const answeredId = textOf(headers[HEADERS.requestId]);
  const signature = textOf(headers[HEADERS.signature]);
  return {
    type: 'answered',
    status: statusCode ?? 0,
    ...(answeredId !== undefined && { answeredId }),
    ...(signature !== undefined && { signature }),
    partSignatures: listOf(headers[HEADERS.partSignatures]),
    missingParts: Number(textOf(headers[HEADERS.missingParts]) ?? 0),
    bodyDigest: digestOf(body),
  };
};

/** Sends a request; always resolves. */
export const sendQuery = (host: string, query: CallerQuery): Promise<CallerResult> =>
  new Promise((resolve) => {
    let sentAt: number | undefined;
    let abandonReason: 'left' | 'expired' | undefined;
    const timers: NodeJS.Timeout[] = [];
    const finish = (outcome: Outcome): void => {
      timers.forEach((timer) => clearTimeout(timer));
      const endedAt = performance.now();
      resolve({ sentAt: sentAt ?? endedAt, endedAt, outcome });
    };
    const fail = (): void =>
      finish({ type: abandonReason ?? (sentAt === undefined ? 'unreachable' : 'cut') });
    const outgoing = sendRequest({
      host: '127.0.0.1',
      port: query.port,
      method: query.method,
      path: query.path,
      agent: query.agent ?? false,
      headers: {
        host,
        [HEADERS.requestId]: query.id,
        [HEADERS.timeBudget]: String(query.budgetMs),
        ...(query.body !== '' && { 'content-length': String(Buffer.byteLength(query.body)) }),
      },
    });
    const abandon = (reason: 'left' | 'expired'): void => {
      abandonReason ??= reason;
      outgoing.destroy();
    };
    const recordSent = (): void => {
      sentAt = performance.now();
      if (query.leavesAfterMs !== undefined) {
        timers.push(setTimeout(() => abandon('left'), query.leavesAfterMs));
      }
    };
    outgoing.on('socket', (socket: Socket) => {
      if (socket.connecting) {
        socket.once('connect', recordSent);
      } else {
        recordSent();
      }
    });
    timers.push(setTimeout(() => abandon('expired'), query.budgetMs + EXPIRY_SLACK_MS));
    outgoing.on('error', fail);
    outgoing.on('response', (incoming) => {
      const chunks: Buffer[] = [];
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
      // An answer that breaks off ends with an error, and `end` does not come.
      incoming.on('error', fail);
      incoming.on('end', () => finish(describeAnswer(incoming, Buffer.concat(chunks))));
    });
    outgoing.end(query.body);
  });
