/** Reads request bodies and writes JSON responses with `node:http`. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Maximum body size that a stand-in accepts, in bytes. */
const BODY_LIMIT = 1_048_576;

/** Reads the whole body; rejects if it exceeds `BODY_LIMIT` or the connection breaks. */
export const readBody = (request: IncomingMessage): Promise<string> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > BODY_LIMIT) {
        reject(new Error('body too large'));
        request.destroy();
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    request.on('error', reject);
  });

/** Writes a JSON response. */
export const writeJson = (
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void => {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
};
