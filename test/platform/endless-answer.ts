/** Answers that never end. */
import type { Socket } from 'node:net';

const HEAD = 'HTTP/1.1 200 OK\r\nx-server-stamp: s-1\r\n';

const BLOCK = 'x'.repeat(16_384);

/** What a replica sends after a request: first the start, then the block again and again. */
export interface EndlessAnswer {
  readonly start: string;
  readonly block: string;
}

/** Answers that never end, by name. */
export const ENDLESS_ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  'header lines': { start: HEAD, block: `x-filler: ${'x'.repeat(100)}\r\n`.repeat(100) },
  'a status line': { start: 'HTTP/1.1 200 ', block: BLOCK },
  'no HTTP': { start: '', block: BLOCK },
  'empty lines': { start: '', block: '\r\n'.repeat(8_192) },
  'a body without a length': { start: `${HEAD}\r\n`, block: BLOCK },
  'a body of 1 TB': { start: `${HEAD}content-length: 1000000000000\r\n\r\n`, block: BLOCK },
  'large chunks': {
    start: `${HEAD}transfer-encoding: chunked\r\n\r\n`,
    block: `4000\r\n${BLOCK}\r\n`,
  },
  'chunks of one byte': {
    start: `${HEAD}transfer-encoding: chunked\r\n\r\n`,
    block: '1\r\nx\r\n'.repeat(2_700),
  },
  'a chunk extension': { start: `${HEAD}transfer-encoding: chunked\r\n\r\n1;x=`, block: BLOCK },
  'interim answers': { start: '', block: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(600) },
};

/** Sends an answer until the connection closes. */
export const sendWithoutEnd = (socket: Socket, { start, block }: EndlessAnswer): void => {
  socket.write(start, 'latin1');
  const bytes = Buffer.from(block, 'latin1');
  const fill = (): void => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('drain', fill);
  fill();
};
