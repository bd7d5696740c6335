/**
 * Replica stand-in over HTTP: serves a `ReplicaModel` through the back-end protocol. It uses plain
 * `node:http` because a demo runs about a hundred replicas in one process.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { ArrivalLog } from './arrival-log.js';
import { readBody, writeJson } from './http-body.js';
import type { LegRequest, ReplicaReply } from './replica-model/leg-exchange.js';
import type { HeldSnapshot, ReplicaFaultChange } from './replica-model/replica-faults.js';
import { ReplicaModel, type ReplicaModelOptions } from './replica-model/replica-model.js';

/** Size of an oversized answer, in bytes; far above the limit of a node. */
const OVERSIZED_ANSWER_BYTES = 16 * 1_048_576;

const DEADLINE_HEADER = 'x-crossroad-deadline-ms';
const LIFECYCLE_HEADER = 'x-crossroad-lifecycle';
/** Deadline of a request without the deadline header, in milliseconds. */
const DEFAULT_DEADLINE_MS = 30_000;
/** Keep-alive timeout of idle connections, in milliseconds. */
const KEEP_ALIVE_MS = 60_000;

/** Options of a replica server. */
export interface ReplicaServerOptions extends ReplicaModelOptions {
  readonly host: string;
  /** 0 lets the kernel choose a free port. */
  readonly port: number;
  /** Delay added to each request, in milliseconds: the round trip to a node in another zone. */
  readonly networkDelayMs: number;
}

interface OpenRequest {
  readonly attempt: string;
  readonly response: ServerResponse;
}

/** Body of `POST /v1/faults`; a snapshot may be given as its version only. */
type FaultChangeBody = Omit<ReplicaFaultChange, 'snapshots'> & {
  readonly snapshots?: readonly (number | HeldSnapshot)[];
  /** Time without new connections, in milliseconds; open connections close when they are idle. */
  readonly closePortMs?: number;
};

const remainingMsOf = (request: IncomingMessage): number => {
  const remaining = Number(request.headers[DEADLINE_HEADER] ?? DEFAULT_DEADLINE_MS);
  return Number.isFinite(remaining) ? remaining : 0;
};

/** Serves one replica on one port. */
export class ReplicaServer {
  readonly model: ReplicaModel;
  private readonly server: Server;
  private readonly open = new Map<number, OpenRequest>();
  private readonly sockets = new Set<Socket>();
  private readonly usableAt = new WeakMap<Socket, number>();
  private readonly arrivals = new ArrivalLog();
  private readonly delayed = new Set<NodeJS.Timeout>();
  private reopening: NodeJS.Timeout | undefined;
  private timer: NodeJS.Timeout | undefined;
  private lastTicket = 0;
  private port: number;

  constructor(private readonly options: ReplicaServerOptions) {
    this.model = new ReplicaModel(options);
    this.port = options.port;
    this.server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
      void this.handleRequest(request, response);
    });
    this.server.on('connection', (socket) => this.handleConnection(socket));
  }

  /** Opens the port and resolves to its number; rejects if the port cannot be opened. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.options.host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
    this.port = (this.server.address() as AddressInfo).port;
    return this.port;
  }

  /** Changes some of the faults; a dead replica closes its port and later reopens the same one. */
  async setFaults(change: ReplicaFaultChange): Promise<void> {
    const wasDead = this.model.currentFaults.dead;
    this.model.setFaults(performance.now(), change);
    this.sendDueReplies();
    if (!wasDead && this.model.currentFaults.dead) {
      await this.closePort();
    } else if (wasDead && !this.model.currentFaults.dead) {
      await this.listen();
    }
  }

  /** Closes the port and all connections. */
  async close(): Promise<void> {
    clearTimeout(this.timer);
    clearTimeout(this.reopening);
    for (const timer of this.delayed) {
      clearTimeout(timer);
    }
    await this.closePort();
  }

  /** Simulates a restart: running requests finish, and new connections are refused for `ms`. */
  private closePortFor(ms: number): void {
    this.server.close();
    for (const { response } of this.open.values()) {
      response.shouldKeepAlive = false;
    }
    clearTimeout(this.reopening);
    this.reopening = setTimeout(() => void this.listen(), ms);
  }

  private async closePort(): Promise<void> {
    if (!this.server.listening) {
      return;
    }
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    for (const socket of this.sockets) {
      socket.destroy();
    }
    await closed;
  }

  private handleConnection(socket: Socket): void {
    const outcome = this.model.openConnection(performance.now());
    if (outcome.type === 'refused') {
      socket.destroy();
      return;
    }
    socket.setNoDelay(true);
    this.usableAt.set(socket, outcome.usableAt);
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.model.closeConnection();
    });
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const body = request.method === 'POST' ? await readBody(request) : '';
      await this.dispatch(request, response, body);
    } catch (error) {
      if (!response.headersSent && !response.destroyed) {
        writeJson(response, 400, { problem: String(error) });
      }
    }
  }

  private async dispatch(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    switch (`${request.method} ${request.url}`) {
      case 'POST /v1/leg':
        this.handleLeg(request, response, JSON.parse(body) as LegRequest);
        return;
      case 'POST /v1/cancel':
        this.cancel((JSON.parse(body) as { attempts: string[] }).attempts);
        response.writeHead(204).end();
        return;
      case 'GET /v1/load':
        this.answerLoad(response);
        return;
      case 'GET /v1/ran':
        writeJson(response, 200, { ran: this.model.ran });
        return;
      case 'GET /v1/arrivals':
        writeJson(response, 200, this.arrivals.read(performance.now()));
        return;
      case 'POST /v1/faults':
        await this.handleFaultChange(response, JSON.parse(body) as FaultChangeBody);
        return;
      default:
        writeJson(response, 404, { problem: 'no such resource' });
    }
  }

  private async handleFaultChange(response: ServerResponse, body: FaultChangeBody): Promise<void> {
    const { closePortMs, ...faults } = body;
    response.writeHead(204).end();
    await this.setFaults(this.parseFaults(faults));
    if (closePortMs !== undefined) {
      this.closePortFor(closePortMs);
    }
  }

  private parseFaults(body: Omit<FaultChangeBody, 'closePortMs'>): ReplicaFaultChange {
    const { snapshots, ...rest } = body;
    if (snapshots === undefined) {
      return rest;
    }
    const shardCount = this.model.currentFaults.snapshots.at(-1)?.shardCount ?? 1;
    return {
      ...rest,
      snapshots: snapshots.map((held) =>
        typeof held === 'number' ? { version: held, shardCount } : held,
      ),
    };
  }

  private handleLeg(request: IncomingMessage, response: ServerResponse, leg: LegRequest): void {
    this.lastTicket += 1;
    const ticket = this.lastTicket;
    this.arrivals.record(performance.now());
    const remaining = remainingMsOf(request);
    this.open.set(ticket, { attempt: leg.attempt, response });
    response.on('close', () => this.handleResponseClosed(ticket));
    response.shouldKeepAlive &&= this.server.listening;
    const arrived = performance.now();
    const opened = this.usableAt.get(request.socket) ?? 0;
    const wait = Math.max(0, opened - arrived) + this.options.networkDelayMs;
    if (wait <= 0) {
      this.submit(ticket, leg, remaining);
      return;
    }
    const timer = setTimeout(() => {
      this.delayed.delete(timer);
      const waited = performance.now() - arrived;
      this.submit(ticket, leg, remaining - waited);
    }, wait);
    this.delayed.add(timer);
  }

  private submit(ticket: number, leg: LegRequest, remaining: number): void {
    if (!this.open.has(ticket)) {
      return;
    }
    this.model.submit(performance.now(), ticket, leg, remaining);
    this.sendDueReplies();
  }

  private cancel(attempts: readonly string[]): void {
    this.model.cancel(performance.now(), attempts);
    this.sendDueReplies();
  }

  /** Cancels the attempt of a request whose connection the caller closed before the reply. */
  private handleResponseClosed(ticket: number): void {
    const open = this.open.get(ticket);
    if (open !== undefined) {
      this.open.delete(ticket);
      this.cancel([open.attempt]);
    }
  }

  private answerLoad(response: ServerResponse): void {
    const { frozen, lifecycle } = this.model.currentFaults;
    if (frozen) {
      return;
    }
    const load = { ...this.model.reportedLoad, slots: this.options.slots, lifecycle };
    writeJson(response, 200, load);
  }

  /** Sends the replies that are due and schedules the next ones. */
  private sendDueReplies(): void {
    for (const reply of this.model.advance(performance.now())) {
      this.reply(reply);
    }
    clearTimeout(this.timer);
    const next = this.model.nextAt();
    this.timer =
      next === undefined
        ? undefined
        : setTimeout(() => this.sendDueReplies(), Math.max(0, next - performance.now()));
  }

  private reply(reply: ReplicaReply): void {
    const open = this.open.get(reply.ticket);
    this.open.delete(reply.ticket);
    if (open === undefined || open.response.destroyed) {
      return;
    }
    const { response } = open;
    switch (reply.type) {
      case 'answered':
        this.answer(response, reply);
        return;
      case 'refused': {
        const { reason, retryAfterMs } = reply;
        const gone = reason === 'snapshot-gone' || reason === 'unknown-shard';
        writeJson(response, gone ? 410 : 503, { outcome: 'not-run', reason, retryAfterMs });
        return;
      }
      case 'cancelled':
        writeJson(response, 499, { outcome: 'unknown', reason: 'cancelled' });
        return;
      case 'connection-lost':
        response.destroy();
        return;
    }
  }

  private answer(
    response: ServerResponse,
    reply: Extract<ReplicaReply, { type: 'answered' }>,
  ): void {
    const headers: Record<string, string> = reply.leaving ? { [LIFECYCLE_HEADER]: 'leaving' } : {};
    switch (reply.damage) {
      case 'none':
        writeJson(response, 200, reply.answer, headers);
        return;
      case 'truncated': {
        const text = JSON.stringify(reply.answer);
        response.writeHead(200, { 'content-length': Buffer.byteLength(text) });
        response.write(text.slice(0, text.length / 2), () => response.destroy());
        return;
      }
      case 'oversized':
        response.writeHead(200, { 'content-type': 'application/json' });
        response.end(Buffer.alloc(OVERSIZED_ANSWER_BYTES, ' '));
        return;
    }
  }
}
