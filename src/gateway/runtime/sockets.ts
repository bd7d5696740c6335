/** Opens connections and ports, with one clear end each. */
import type { Server } from 'node:http';
import { connect, type Socket } from 'node:net';
import type { buildConnector } from 'undici';
import type { HostPort } from '../../settings/node-settings.js';

/** The error of a connection that did not open in time. */
export class ConnectTimeoutError extends Error {
  override readonly name = 'ConnectTimeoutError';
}

/** Opens a connection for an HTTP client and hands it to `callback`. */
export const openConnection = (
  { host, port }: HostPort,
  timeoutMs: number,
  callback: buildConnector.Callback,
): Socket => {
  const socket = connect({ host, port, noDelay: true });
  const failed = (error: Error): void => callback(error, null);
  socket.setTimeout(timeoutMs, () => socket.destroy(new ConnectTimeoutError('no connection')));
  socket.once('error', failed);
  socket.once('connect', () => {
    socket.setTimeout(0);
    socket.off('error', failed);
    callback(null, socket);
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
