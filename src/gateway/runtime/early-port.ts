/**
 * Opens the callers' port before the rest of the program is loaded. After a power failure, callers reconnect while all
 * gateways are starting. A port that is not open yet refuses them, and most callers retry only once. Connections to an
 * open port wait for the tenth of a second that loading takes on a small machine.
 */
import { readFileSync } from 'node:fs';
import { createServer, type Server, type Socket } from 'node:net';
import type { HostPort } from '../../settings/node-settings.js';
import { parseHostPort } from '../../settings/parse-host-port.js';

/** An open port, and the connections accepted before the gateway took it over. */
export interface EarlyPort {
  readonly server: Server;
  readonly address: HostPort;
  readonly sockets: readonly Socket[];
}

/** Reads the callers' address from a settings file; undefined if invalid. The gateway reports all findings later. */
const readAddress = (file: string): HostPort | undefined => {
  try {
    const settings = JSON.parse(readFileSync(file, 'utf8')) as { readonly callers?: unknown };
    return typeof settings.callers === 'string'
      ? parseHostPort(settings.callers).toMaybe().extract()
      : undefined;
  } catch {
    return undefined;
  }
};

/**
 * Opens the callers' port given in a settings file. Resolves to undefined if the file is invalid or the port is not
 * available; the gateway reports that when it starts.
 */
export const openEarlyPort = (file: string): Promise<EarlyPort | undefined> => {
  const address = readAddress(file);
  if (address === undefined) {
    return Promise.resolve(undefined);
  }
  const sockets: Socket[] = [];
  const server = createServer({ pauseOnConnect: true, noDelay: true }, (socket) => {
    sockets.push(socket);
  });
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined));
    server.listen(address.port, address.host, () => resolve({ server, address, sockets }));
  });
};
