/**
 * Ports for gateways that are started again on the same ones. They lie below those that the kernel gives
 * to outgoing connections, which could take a port while its gateway is down.
 */
import { connect, createServer } from 'node:net';
import { once } from 'node:events';

const HOST = '127.0.0.1';

/** First port and number of ports that are tried; the kernel's own begin at 32,768. */
const FIRST_PORT = 22_000;
const PORT_COUNT = 10_000;

/** Distance between the ports that two processes of the soak try first. */
const START_STRIDE = 97;

const isFree = async (port: number): Promise<boolean> => {
  const server = createServer();
  const failed = once(server, 'error').then(() => false);
  server.listen(port, HOST);
  const listening = once(server, 'listening').then(() => true);
  const free = await Promise.race([failed, listening]);
  if (free) {
    server.close();
    await once(server, 'close');
  }
  return free;
};

/** Whether a port takes connections. */
export const isOpen = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = connect(port, HOST);
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });

/** Finds `length` free ports that follow one another; gives the first. */
export const findConsecutivePorts = async (length: number): Promise<number> => {
  const start = (process.pid * START_STRIDE) % PORT_COUNT;
  let row = 0;
  for (let step = 0; step < PORT_COUNT; step += 1) {
    const port = FIRST_PORT + ((start + step) % PORT_COUNT);
    const continues = row === 0 || port !== FIRST_PORT;
    row = (await isFree(port)) ? (continues ? row + 1 : 1) : 0;
    if (row === length) {
      return port - length + 1;
    }
  }
  throw new Error(`no ${length} free ports in a row`);
};
