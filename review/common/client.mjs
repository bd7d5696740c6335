/** A client connection over which one request at a time is sent, and its answer read. */
import { Buffer } from 'node:buffer';

const HEADER_END = '\r\n\r\n';

/** A connection that is kept for several requests. */
export class ClientConnection {
  constructor(socket) {
    this.socket = socket;
    this.bytes = Buffer.alloc(0);
    this.isClosed = false;
    this.settle = undefined;
    socket.on('data', (chunk) => {
      this.bytes = Buffer.concat([this.bytes, chunk]);
      this.readAnswer();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.isClosed = true;
      this.settle?.({ type: 'cut', bytes: this.bytes.length });
    });
  }

  opened() {
    return new Promise((resolve) => {
      this.socket.once('connect', resolve);
    });
  }

  /** Sends a request; resolves to its answer, or to `cut` if the connection ends before that is complete. */
  send({ method = 'GET', host, path, id, budgetMs }) {
    return new Promise((resolve) => {
      this.settle = (outcome) => {
        this.settle = undefined;
        this.bytes = Buffer.alloc(0);
        resolve(outcome);
      };
      this.socket.write(
        `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nX-Request-Id: ${id}\r\n` +
          `X-Time-Budget-Ms: ${budgetMs}\r\n${method === 'GET' ? '' : 'Content-Length: 0\r\n'}\r\n`,
      );
    });
  }

  readAnswer() {
    const end = this.bytes.indexOf(HEADER_END);
    if (end < 0 || this.settle === undefined) {
      return;
    }
    const head = this.bytes.subarray(0, end).toString('latin1');
    const length = Number(/^content-length:\s*(\d+)/im.exec(head)?.[1] ?? 0);
    if (this.bytes.length >= end + HEADER_END.length + length) {
      const body = this.bytes.subarray(end + HEADER_END.length);
      this.settle({ type: 'answered', status: Number(head.slice(9, 12)), head, body });
    }
  }
}
