/** Opens connections and ports; each call has exactly one outcome. */
import { readSync } from 'node:fs';
import { connect, Server, type Socket } from 'node:net';
import type { HostPort } from '../../settings/node-settings.js';

/** The connection did not open in time. */
export class ConnectTimeoutError extends Error {
  override readonly name = 'ConnectTimeoutError';
}

/**
 * Destroys a socket that is not connected. The check waits for the next poll: if the process was busy, the connection
 * may have opened meanwhile.
 */
const destroyUnlessConnected = (socket: Socket): void => {
  setImmediate(() => {
    if (socket.connecting) {
      socket.destroy(new ConnectTimeoutError('connect timeout'));
    }
  });
};

/**
 * Opens a connection.
 *
 * @param callback - called once, with null if the connection opened
 */
export const openConnection = (
  { host, port }: HostPort,
  timeoutMs: number,
  callback: (error: Error | null) => void,
): Socket => {
  const socket = connect({ host, port, noDelay: true });
  const failed = (error: Error): void => callback(error);
  socket.setTimeout(timeoutMs, () => destroyUnlessConnected(socket));
  socket.once('error', failed);
  socket.once('connect', () => {
    socket.setTimeout(0);
    socket.off('error', failed);
    callback(null);
  });
  return socket;
};

/** Listens on `address`; rejects if the address is not available. */
export const listenOn = (server: Server, { host, port }: HostPort): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });

/**
 * Takes over a port that another server opened. `server` accepts all further connections, including those that wait in
 * the kernel's queue.
 */
export const takeOverPort = (server: Server, opened: Server): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(opened, () => {
      server.off('error', reject);
      resolve();
    });
  });

/** Closes a port and no connection; `close` of an HTTP server would close idle connections, too. */
export const stopListening = (server: Server): void => {
  if (server.listening) {
    Server.prototype.close.call(server);
  }
};

/** Turns of the event loop for which waiting connections are accepted at most; by default, as many connections may wait. */
const MAX_ACCEPT_TURNS = 511;

/**
 * Closes a port when the connections that wait have been accepted; the kernel would reset them. Node accepts one in each turn of
 * the event loop.
 */
export const closeAfterAccepting = (server: Server, turnsLeft = MAX_ACCEPT_TURNS): void => {
  let hasAccepted = false;
  const recordAccepted = (): void => {
    hasAccepted = true;
  };
  server.once('connection', recordAccepted);
  setImmediate(() => {
    server.off('connection', recordAccepted);
    if (hasAccepted && turnsLeft > 0) {
      closeAfterAccepting(server, turnsLeft - 1);
    } else {
      stopListening(server);
    }
  });
};

/** The part of a socket's handle that gives access to its file descriptor. */
interface SocketWithHandle {
  readonly _handle?: { readonly fd: number } | null;
}

/**
 * Returns whether a connection whose end was just reported was in fact reset.
 *
 * If one poll finds both bytes and a reset, libuv reports the bytes and then an end, and leaves the error unread
 * (`uv__stream_io`, its shortcut for POLLHUP after a partial read). One more read of the descriptor distinguishes them:
 * it returns no bytes for a connection that has ended.
 */
export const wasReset = (socket: Socket): boolean => {
  const fd = (socket as unknown as SocketWithHandle)._handle?.fd;
  if (fd === undefined || fd < 0) {
    return false;
  }
  try {
    return readSync(fd, Buffer.alloc(1)) !== 0;
  } catch {
    return true;
  }
};
