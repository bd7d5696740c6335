/** Opens connections and ports, with one clear end each. */
import { readSync } from 'node:fs';
import { connect, type Server, type Socket } from 'node:net';
import type { HostPort } from '../../settings/node-settings.js';

/** The error of a connection that did not open in time. */
export class ConnectTimeoutError extends Error {
  override readonly name = 'ConnectTimeoutError';
}

/** A process that was busy reads first what has arrived meanwhile: the connection may be open. */
const destroyUnlessConnected = (socket: Socket): void => {
  setImmediate(() => {
    if (socket.connecting) {
      socket.destroy(new ConnectTimeoutError('no connection'));
    }
  });
};

/** Opens a connection; `callback` learns once whether it opened. */
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

/** Listens on `address`; rejects when the address cannot be had. */
export const listenOn = (server: Server, { host, port }: HostPort): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });

/**
 * Takes over a port that another server opened: it takes all further connections from then on, those that
 * wait in the kernel's queue among them.
 */
export const takeOverPort = (server: Server, opened: Server): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(opened, () => {
      server.off('error', reject);
      resolve();
    });
  });

/** What of a socket's handle is needed to ask the kernel about it. */
interface SocketWithHandle {
  readonly _handle?: { readonly fd: number } | null;
}

/**
 * Whether a connection whose end was just reported was in fact reset.
 *
 * When bytes and a reset are found in one poll, libuv reports the bytes and then an end, and leaves
 * the error unread (`uv__stream_io`, its shortcut for POLLHUP after a partial read). One more read
 * of the descriptor tells them apart: a connection that has ended reads as empty.
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
