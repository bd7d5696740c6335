/** Counts the bytes that arrive over a connection while one answer is read. */
import type { Socket } from 'node:net';

/** Called after each read with the number of bytes received since the request was sent. */
export type ReceivedListener = (receivedBytes: number) => void;

/** The bytes received over one connection. */
export class ReceivedBytes {
  private listener: ReceivedListener | undefined;
  private before = 0;

  constructor(private readonly socket: Socket) {}

  /** Number of bytes received since the current request was sent; also known after the connection has ended. */
  get count(): number {
    return this.socket.bytesRead - this.before;
  }

  /**
   * Sets the listener of the current request. To be called once the request is being sent: the HTTP client must be the first
   * to read from the socket.
   */
  observe(listener: ReceivedListener): void {
    if (this.listener === undefined) {
      this.socket.on('readable', () => this.listener?.(this.count));
    }
    this.listener = listener;
    this.before = this.socket.bytesRead;
  }
}
