/**
 * Ports for servers whose address must be known before they start, or that restart at their port. The kernel gives a port
 * that is free for a moment to the next server or outgoing connection at the same address, so these ports lie at an
 * address of their own.
 */
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server } from 'node:net';

/** Loopback address of this test process. No other process listens there, and outgoing connections do not use it. */
export const OWN_ADDRESS = `127.1.${(process.pid >> 8) & 0xff}.${process.pid & 0xff}`;

const returned = new Set<number>();

const openServer = async (): Promise<Server> => {
  const server = createServer().listen(0, OWN_ADDRESS);
  await once(server, 'listening');
  return server;
};

const closeServer = async (server: Server): Promise<void> => {
  server.close();
  await once(server, 'close');
};

/** Finds distinct free ports at `OWN_ADDRESS` that no earlier call has returned. */
export const findOwnPorts = async (count: number): Promise<number[]> => {
  const servers: Server[] = [];
  const ports: number[] = [];
  while (ports.length < count) {
    const server = await openServer();
    servers.push(server);
    const { port } = server.address() as AddressInfo;
    if (!returned.has(port)) {
      returned.add(port);
      ports.push(port);
    }
  }
  await Promise.all(servers.map(closeServer));
  return ports;
};
