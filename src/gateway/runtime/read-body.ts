/** Reads the body of a caller's request within the limit on its size. */
import type { IncomingMessage } from 'node:http';

/** Whether a request has no body. */
export const isBodyless = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] === undefined && (headers['content-length'] ?? '0') === '0';

/**
 * Reads a body; `onEnd` learns of its end once, without a body where that is larger than allowed. The rest of
 * such a body is read and dropped.
 *
 * @param currentLimit - the most bytes that are allowed now
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
    // A limit that shrinks meanwhile does not make a body improper that was allowed when it was sent.
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
