/** Answers with which an attempt fails at once. */
import type { Socket } from 'node:net';

/** What a replica sends after a request, and what it does with the connection then. */
export interface QuickFailure {
  readonly text: string;
  readonly end: 'close' | 'reset' | 'keep';
  /** Whether the request counts as run; false where the replica says that it is not. */
  readonly runs: boolean;
}

const HEAD = 'HTTP/1.1 200 OK\r\nx-server-stamp: s-1\r\n';
const EMPTY = 'content-length: 0\r\n\r\n';
const INTERIM = 'HTTP/1.1 102 Processing\r\n\r\n';

/** Parts of an answer, by where they end. */
const PARTS: Readonly<Record<string, string>> = {
  'before any byte': '',
  'in the status line': 'HTTP/1.1 20',
  "in a header's name": `${HEAD}content-le`,
  'in the digits of the length': `${HEAD}content-length: 1`,
  'before the last line end': `${HEAD}content-length: 16\r\n`,
  'in a body with a length': `${HEAD}content-length: 16\r\n\r\nhalf`,
  'in a chunk': `${HEAD}transfer-encoding: chunked\r\n\r\n10\r\nhalf`,
  'after an interim answer': INTERIM,
  'in the head after an interim answer': `${INTERIM}HTTP/1.1 200`,
};

/** Whole answers that cannot be used. */
const UNUSABLE: Readonly<Record<string, string>> = {
  'a failure': `HTTP/1.1 500 No\r\nx-server-stamp: s-1\r\n${EMPTY}`,
  'a success without a signature': `HTTP/1.1 200 OK\r\n${EMPTY}`,
  'a refusal without a signature': `HTTP/1.1 404 No\r\n${EMPTY}`,
  'an answer to another request': `${HEAD}x-request-id: other\r\n${EMPTY}`,
  'an encoded answer': `${HEAD}content-encoding: gzip\r\n${EMPTY}`,
  'no HTTP': 'no answer at all\r\n\r\n',
};

/** Answers by which a replica says that it has not run the request. */
const NOT_RUN: Readonly<Record<string, string>> = {
  'that it is full': `HTTP/1.1 503 Full\r\nx-not-executed: 1\r\n${EMPTY}`,
  'that it is another one': `HTTP/1.1 421 No\r\n${EMPTY}`,
};

/** Answers that are broken off, by name. A body without a length is complete when its connection is closed. */
export const BROKEN_OFF_ANSWERS: Readonly<Record<string, QuickFailure>> = Object.fromEntries([
  ...Object.entries(PARTS).flatMap(([name, text]) => [
    [`closes ${name}`, { text, end: 'close', runs: true }],
    [`resets ${name}`, { text, end: 'reset', runs: true }],
  ]),
  ['resets in a body without a length', { text: `${HEAD}\r\nhalf`, end: 'reset', runs: true }],
]);

/** All of them, by what the replica does. */
export const QUICK_FAILURES: Readonly<Record<string, QuickFailure>> = {
  ...BROKEN_OFF_ANSWERS,
  ...Object.fromEntries([
    ...Object.entries(UNUSABLE).map(([name, text]) => [
      `sends ${name}`,
      { text, end: 'keep', runs: true },
    ]),
    ...Object.entries(NOT_RUN).map(([name, text]) => [
      `says ${name}`,
      { text, end: 'keep', runs: false },
    ]),
  ]),
};

/** Sends the text, and ends the connection once the kernel has taken it. */
export const failQuickly = (socket: Socket, { text, end }: QuickFailure): void => {
  const finish = (): void => {
    if (end === 'close') {
      socket.end();
    } else if (end === 'reset') {
      socket.resetAndDestroy();
    }
  };
  if (text === '') {
    finish();
  } else {
    socket.write(text, 'latin1', finish);
  }
};
