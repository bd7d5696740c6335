/** A caller that sends bytes as the test gives them over one connection, and reads the answers. */
import { connect, type Socket } from 'node:net';
import type { HostPort } from '../../src/settings/node-settings.js';
import { until } from './gateway-fixture.js';

/** One answer on the connection. */
export interface RawAnswer {
  readonly status: number;
  readonly head: string;
  readonly body: string;
}

/** The head of a request with an identifier; `line` is its method and target. */
export const requestHead = (
  line: string,
  fields: readonly string[] = [],
  host = 'shop.example',
): string =>
  [`${line} HTTP/1.1`, `Host: ${host}`, 'X-Request-Id: r-1', ...fields, '', ''].join('\r\n');

const HEAD_END = '\r\n\r\n';

/** Takes the whole answers off the front of `text`. Each must have a length, or end with the connection. */
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

/** A connection of a caller. */
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

  /** Sends no more; answers are still read. */
  endSending(): void {
    this.socket.end();
  }

  get answers(): readonly RawAnswer[] {
    return readAnswers(this.received);
  }

  /** Statuses of the first `count` answers; interim answers count too. */
  async statuses(count: number): Promise<readonly number[]> {
    await until(() => this.answers.length >= count || this.isClosed, `${count} answers are in`);
    return this.answers.map(({ status }) => status);
  }

  close(): void {
    this.socket.destroy();
  }
}
