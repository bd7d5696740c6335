/** Opens TCP and UDP sockets on the same port. */
import { createSocket, type Socket as DatagramSocket } from 'node:dgram';
import { type AddressInfo, createServer, isIPv6, type Server } from 'node:net';
import type { HostPort } from '../../settings/node-settings.js';

/** Maximum number of attempts to find a port that is free for both protocols, if the kernel chooses. */
const MAX_BIND_ATTEMPTS = 20;

/** The TCP and UDP sockets of the peer port. */
export interface PeerPort {
  readonly server: Server;
  readonly datagrams: DatagramSocket;
  readonly port: number;
}

const listenTcp = async (address: HostPort): Promise<Server> => {
  const server = createServer();
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => {
      server.off('error', reject);
      resolve();
    });
  });
  return server;
};

const bindUdp = async (host: string, port: number): Promise<DatagramSocket> => {
  const socket = createSocket(isIPv6(host) ? 'udp6' : 'udp4');
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(port, host, () => {
      socket.off('error', reject);
      resolve();
    });
  });
  return socket;
};

const openOnce = async (address: HostPort): Promise<PeerPort> => {
  const server = await listenTcp(address);
  const { port } = server.address() as AddressInfo;
  try {
    return { server, datagrams: await bindUdp(address.host, port), port };
  } catch (error) {
    server.close();
    throw error;
  }
};

/** Listens on `address`; with port 0, tries another port if the chosen one is in use for UDP. */
export const openPeerPort = async (address: HostPort): Promise<PeerPort> => {
  for (let bindAttempts = 1; ; bindAttempts += 1) {
    try {
      return await openOnce(address);
    } catch (error) {
      if (address.port !== 0 || bindAttempts >= MAX_BIND_ATTEMPTS) {
        throw error;
      }
    }
  }
};
