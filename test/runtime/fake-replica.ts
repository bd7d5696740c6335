/** A replica for tests of the driver. It records each leg and answers it by a callback of the test. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** The fields of the request for a leg that tests check. */
export interface FakeLeg {
  readonly request: string;
  readonly attempt: string;
  readonly shard: string;
  readonly snapshot: number;
  readonly payload: unknown;
}

/** Answers one leg. */
export type LegAnswerer = (leg: FakeLeg, response: ServerResponse, port: number) => void;

/** A running fake replica. */
export interface FakeReplica {
  readonly port: number;
  readonly legs: FakeLeg[];
  readonly cancelled: string[];
  /** Returns the largest number of connections that were open at once. */
  readonly peakConnections: () => number;
  answer: LegAnswerer;
  close(): void;
}

const readBody = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
};

/** The body of a valid answer with one item, named after the shard. */
export const goodAnswer = (leg: FakeLeg): string =>
  JSON.stringify({
    request: leg.request,
    attempt: leg.attempt,
    shard: leg.shard,
    snapshot: leg.snapshot,
    items: [{ id: `${leg.shard}-item`, score: 1, value: leg.payload }],
    load: { inFlight: 1, queued: 0 },
  });

/** Sends a valid answer at once. */
export const answerAtOnce: LegAnswerer = (leg, response) => {
  response.end(goodAnswer(leg));
};

/** Starts a fake replica. */
export const startFakeReplica = async (answer = answerAtOnce, port = 0): Promise<FakeReplica> => {
  const legs: FakeLeg[] = [];
  const cancelled: string[] = [];
  const open = new Map<string, ServerResponse>();
  let connections = 0;
  let peak = 0;

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body: unknown = JSON.parse(await readBody(request));
    if (request.url === '/v1/cancel') {
      const { attempts } = body as { attempts: string[] };
      cancelled.push(...attempts);
      attempts.forEach((attempt) => {
        const waiting = open.get(attempt);
        if (waiting?.writableEnded === false) {
          waiting.writeHead(499).end(JSON.stringify({ outcome: 'unknown', reason: 'cancelled' }));
        }
      });
      response.writeHead(204).end();
      return;
    }
    const leg = body as FakeLeg;
    legs.push(leg);
    open.set(leg.attempt, response);
    replica.answer(leg, response, replica.port);
  };

  const server = createServer((request, response) => void handle(request, response));
  server.on('connection', (socket) => {
    connections += 1;
    peak = Math.max(peak, connections);
    socket.once('close', () => {
      connections -= 1;
    });
  });
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  const replica: FakeReplica = {
    port: (server.address() as AddressInfo).port,
    legs,
    cancelled,
    peakConnections: () => peak,
    answer,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
  return replica;
};
