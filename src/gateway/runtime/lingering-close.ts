/**
 * Closes connections without a reset. Closing a socket while input is unread, or before input that arrives later, makes the
 * kernel reset the connection and discard what it has not delivered yet (RFC 9112, section 9.6).
 */
import type { Socket } from 'node:net';

/** Maximum wait for the other side to close, after everything has been handed to the kernel, in milliseconds. */
const LINGER_MS = 2_000;

/** Reads and discards all further input of a connection that an HTTP server owns; its parser gets none of it. */
export const discardInput = (socket: Socket): void => {
  socket.removeAllListeners('data');
  // While Node's HTTP parser reads the handle directly, adding a listener returns the handle to the socket.
  socket.on('data', () => undefined);
  socket.resume();
};

/** Connections whose sending side has been closed, until the other side closes. */
export class LingeringConnections {
  private readonly sockets = new Set<Socket>();

  get size(): number {
    return this.sockets.size;
  }

  /** Closes the sending side after everything that was written, and the connection when the other side has closed. */
  close(socket: Socket): void {
    if (this.sockets.has(socket) || socket.destroyed) {
      return;
    }
    this.sockets.add(socket);
    discardInput(socket);
    socket.setTimeout(0);
    let timer: NodeJS.Timeout | undefined;
    socket.once('close', () => {
      clearTimeout(timer);
      this.sockets.delete(socket);
    });
    socket.end(() => {
      if (!socket.destroyed) {
        timer = setTimeout(() => socket.destroy(), LINGER_MS);
      }
    });
  }
}
