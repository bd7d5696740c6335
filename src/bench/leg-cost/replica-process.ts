/** Replicas that answer immediately, in one process with one port per replica. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { formatBenchAnswer } from './bench-leg.js';
import { sendReply, handleCommands } from './bench-messages.js';

const handleRequest = (request: IncomingMessage, response: ServerResponse): void => {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('end', () => {
    const leg = JSON.parse(Buffer.concat(chunks).toString()) as {
      request: string;
      attempt: string;
      shard: string;
    };
    const body = formatBenchAnswer(leg);
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  });
};

const listen = async (): Promise<number> => {
  const server = createServer({ keepAliveTimeout: 60_000 }, handleRequest);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
};

handleCommands((command) => {
  if (command.type === 'start-replicas') {
    const ports = Array.from({ length: command.count }, listen);
    void Promise.all(ports).then((bound) => sendReply({ type: 'ready', ports: bound }));
  }
});
