/**
 * Opens the callers' port before the rest of the program is loaded. After a loss of power callers come
 * back while every gateway starts: a port that is not open yet refuses them, and most have one retry. What
 * connects to an open one waits for the tenth of a second that loading takes on a small machine.
 */
import { readFileSync } from 'node:fs';
import { createServer, type Server, type Socket } from 'node:net';
import type { HostPort } from '../../settings/node-settings.js';
import { parseHostPort } from '../../settings/parse-host-port.js';

/** A port that is open, and the connections that came before it was taken over. */
export interface EarlyPort {
  readonly server: Server;
  readonly address: HostPort;
  readonly sockets: readonly Socket[];
}

/** The callers' address in a settings file; findings about the file are reported later, all together. */
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
 * Opens the callers' port that a settings file names; undefined where the file is wrong or the port cannot
 * be had, which is reported when the gateway itself starts.
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
