/** A caller that sends the bytes given by the test over one connection and reads the answers. */
import { connect, type Socket } from 'node:net';
import type { HostPort } from '../../src/settings/node-settings.js';
import { until } from './gateway-fixture.js';

/** One answer on the connection. */
export interface RawAnswer {
  readonly status: number;
  readonly head: string;
  readonly body: string;
}

/** The head of a request with an identifier; `line` consists of method and target. */
export const requestHead = (
  line: string,
  fields: readonly string[] = [],
  host = 'shop.example',
): string =>
  [`${line} HTTP/1.1`, `Host: ${host}`, 'X-Request-Id: r-1', ...fields, '', ''].join('\r\n');

const HEAD_END = '\r\n\r\n';

/** Parses the complete answers at the start of `text`. Each needs a content length or extends to the end of `text`. */
const readAnswers = (text: string): readonly RawAnswer[] => {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) {
    return [];
  }
  const head = text.slice(0, headEnd);
  const bodyStart = headEnd + HEAD_END.length;
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0);
  const rest = text.slice(bodyStart);
  if (status === 100) {
    return [{ status, head, body: '' }, ...readAnswers(rest)];
  }
  const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? rest.length);
  if (rest.length < length) {
    return [];
  }
  return [{ status, head, body: rest.slice(0, length) }, ...readAnswers(rest.slice(length))];
};

/** One caller's connection. */
export class RawCaller {
  private received = '';
  isClosed = false;

  private constructor(private readonly socket: Socket) {
    socket.setEncoding('latin1');
    socket.on('data', (text: string) => (this.received += text));
    socket.on('error', () => undefined);
    socket.on('close', () => (this.isClosed = true));
  }

  static open(address: HostPort): Promise<RawCaller> {
    return new Promise((resolve, reject) => {
      const socket = connect({ ...address, noDelay: true });
      socket.once('error', reject);
      socket.once('connect', () => resolve(new RawCaller(socket)));
    });
  }

  send(text: string): void {
    this.socket.write(text, 'latin1');
  }

  /** Half-closes the connection; answers are still read. */
  endSending(): void {
    this.socket.end();
  }

  get answers(): readonly RawAnswer[] {
    return readAnswers(this.received);
  }

  /** Waits for `count` answers, interim ones included, or the end of the connection; returns the statuses of all so far. */
  async statuses(count: number): Promise<readonly number[]> {
    await until(() => this.answers.length >= count || this.isClosed, `${count} answers are in`);
    return this.answers.map(({ status }) => status);
  }

  close(): void {
    this.socket.destroy();
  }
}
