/** Reads the body of a caller's request up to a length limit, without the cost of a web stream. */
import type { IncomingMessage } from 'node:http';

/** The result of reading a body. */
export type BodyReadResult =
  | { readonly type: 'read'; readonly text: string }
  | { readonly type: 'too-large' }
  /** The connection closed before the body was complete. */
  | { readonly type: 'cut' };

const exceedsContentLength = (incoming: IncomingMessage, maxBytes: number): boolean =>
  Number(incoming.headers['content-length'] ?? 0) > maxBytes;

/** Reads a body of at most `maxBytes`. */
export const readBody = (incoming: IncomingMessage, maxBytes: number): Promise<BodyReadResult> => {
  if (exceedsContentLength(incoming, maxBytes)) {
    return Promise.resolve({ type: 'too-large' });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    const onData = (chunk: Buffer): void => {
      length += chunk.length;
      chunks.push(chunk);
      if (length > maxBytes) {
        incoming.off('data', onData);
        incoming.pause();
        resolve({ type: 'too-large' });
      }
    };
    incoming.on('data', onData);
    incoming.once('end', () => {
      resolve({ type: 'read', text: Buffer.concat(chunks, length).toString('utf8') });
    });
    incoming.once('close', () => resolve({ type: 'cut' }));
    incoming.once('error', () => resolve({ type: 'cut' }));
  });
};
