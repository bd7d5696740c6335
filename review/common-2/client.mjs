/* global Buffer, clearTimeout, performance, setTimeout */
/** A client: sends one request over a new connection and returns what it sees. */
import { request } from 'node:http';

/**
 * Sends a request.
 *
 * @returns its `outcome`: a status, or `closed` with the reason when the connection ended without a complete answer
 */
export const send = ({
  port,
  id,
  host,
  path,
  method = 'GET',
  body,
  headers = {},
  budgetMs,
  agent,
}) =>
  new Promise((resolve) => {
    const sentAt = performance.now();
    const end = (outcome, rest = {}) =>
      resolve({ id, sentAt, endedAt: performance.now(), outcome, ...rest });
    const outgoing = request({
      host: '127.0.0.1',
      port,
      path,
      method,
      agent: agent ?? false,
      headers: {
        host,
        'x-request-id': id,
        'x-time-budget-ms': String(budgetMs),
        ...(body !== undefined && { 'content-length': Buffer.byteLength(body) }),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      outgoing.destroy();
      end('given up');
    }, budgetMs + 1_000);
    outgoing.once('response', (incoming) => {
      const chunks = [];
      incoming.on('data', (chunk) => chunks.push(chunk));
      incoming.once('close', () => {
        clearTimeout(timer);
        const text = Buffer.concat(chunks).toString('latin1');
        const outcome = incoming.complete ? incoming.statusCode : 'closed';
        end(outcome, { text, headers: incoming.headers });
      });
    });
    outgoing.once('error', (error) => {
      clearTimeout(timer);
      end('closed', { reason: error.code });
    });
    outgoing.end(body);
  });
