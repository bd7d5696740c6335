/** Sends one request as a caller and returns its result. */
import { type Agent, request as sendRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { platformProtocol } from '../../platform/protocol.js';
import type { Outcome } from '../model/observations.js';
import { digestOf } from './answer-body.js';

const HEADERS = platformProtocol.headers;

/** Time after its deadline for which a caller still waits for an answer, in milliseconds. */
export const EXPIRY_SLACK_MS = 1_500;

/** A request to send. */
export interface CallerQuery {
  readonly id: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly budgetMs: number;
  /** API key and tenant header; absent ones are not sent. */
  readonly apiKey?: string;
  readonly tenantHeader?: string;
  /** Time after which the caller closes the connection, in milliseconds; absent if it waits for the answer. */
  readonly leavesAfterMs?: number;
  /** Agent that keeps connections open; absent for a new connection. */
  readonly agent?: Agent;
}

/** Result of a request and its times. */
export interface CallerResult {
  /** When the connection was established and the request written; the end of the request if that never happened. */
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

/** Describes a complete answer as the result of its request. */
export const describeAnswer = (
  { statusCode, headers }: Pick<IncomingMessage, 'statusCode' | 'headers'>,
  body: Buffer,
): Outcome => {
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

/** Sends a request to the host of a route. */
export type SendQuery = (host: string, query: CallerQuery) => Promise<CallerResult>;

/** Sends a request to a gateway on loopback. Never rejects: failures are outcomes. */
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
        ...(query.apiKey !== undefined && { [HEADERS.apiKey]: query.apiKey }),
        ...(query.tenantHeader !== undefined && { [HEADERS.tenant]: query.tenantHeader }),
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
      // An incomplete answer causes an error; `end` is not emitted.
      incoming.on('error', fail);
      incoming.on('end', () => finish(describeAnswer(incoming, Buffer.concat(chunks))));
    });
    outgoing.end(query.body);
  });
