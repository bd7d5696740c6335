/** Reads the body of a caller's request within the limit on its size. */
import type { IncomingMessage } from 'node:http';

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
  const chunks: Buffer[] = [];
  let size = 0;
  let isTooLarge = false;
  incoming.on('data', (chunk: Buffer) => {
    if (isTooLarge) {
      return;
    }
    size += chunk.length;
    // A body that was allowed when it was sent stays allowed if the limit shrinks meanwhile.
    isTooLarge = size > Math.max(initialLimit, currentLimit());
    if (isTooLarge) {
      onEnd(undefined);
    } else {
      chunks.push(chunk);
    }
  });
  incoming.on('end', () => {
    if (!isTooLarge) {
      onEnd(Buffer.concat(chunks));
    }
  });
};
