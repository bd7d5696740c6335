/** Reads the body of a caller's request within the limit on its size. */
import type { IncomingMessage } from 'node:http';
import { BodyBuffer } from './body-buffer.js';

/** Returns whether a request has no body. */
export const isBodyless = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] === undefined && (headers['content-length'] ?? '0') === '0';

/**
 * Reads a body.
 *
 * @param currentLimit - returns the maximum size that is allowed now, in bytes
 * @param onEnd - called once, without a body if it is too large; the rest of such a body is read and discarded
 */
export const readBody = (
  incoming: IncomingMessage,
  currentLimit: () => number,
  onEnd: (body: Buffer | undefined) => void,
): void => {
  const initialLimit = currentLimit();
  const body = new BodyBuffer();
  let isTooLarge = false;
  incoming.on('data', (chunk: Buffer) => {
    if (isTooLarge) {
      return;
    }
    // A body that was allowed when it was sent stays allowed if the limit shrinks meanwhile.
    isTooLarge = body.size + chunk.length > Math.max(initialLimit, currentLimit());
    if (isTooLarge) {
      body.clear();
      onEnd(undefined);
    } else {
      body.append(chunk);
    }
  });
  incoming.on('end', () => {
    if (!isTooLarge) {
      onEnd(body.toBuffer());
    }
  });
};
