/** Finds free ports for processes that must know each other's ports before they start. */
import { createServer, type Server } from 'node:net';
import { once } from 'node:events';

const HOST = '127.0.0.1';

const openServer = async (): Promise<Server> => {
  const server = createServer();
  server.listen(0, HOST);
  await once(server, 'listening');
  return server;
};

const portOf = (server: Server): number => {
  const address = server.address();
  return typeof address === 'object' && address !== null ? address.port : 0;
};

const closeServer = async (server: Server): Promise<void> => {
  server.close();
  await once(server, 'close');
};

/** Finds `count` free TCP ports; another program may bind one of them before it is used. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, openServer));
  const ports = servers.map(portOf);
  await Promise.all(servers.map(closeServer));
  return ports;
};
