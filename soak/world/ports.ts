/**
 * Ports for gateways that restart on the same ones. They are below the kernel's range of ephemeral ports, so that no
 * outgoing connection can use a port while its gateway is down.
 */
import { connect, createServer } from 'node:net';
import { once } from 'node:events';

const HOST = '127.0.0.1';

/** First port and number of ports to try; the kernel's ephemeral ports start at 32,768. */
const FIRST_PORT = 22_000;
const PORT_COUNT = 10_000;

/** Distance between the first ports tried by soak processes with consecutive identifiers. */
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

/** Whether a port accepts connections. */
export const isOpen = (port: number, host = HOST): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = connect(port, host);
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });

/** Finds `length` consecutive free ports and returns the first; throws if there are none. */
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
  throw new Error(`no ${length} consecutive ports are free`);
};
