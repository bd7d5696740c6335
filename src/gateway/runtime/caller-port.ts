/**
 * The port on which callers connect: takes their requests whole and sends the final answers.
 *
 * Bytes pass through unchanged, so the port stands on Node's own server and not on hono, whose
 * requests and answers are parsed and built anew.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';
import type { HostPort } from '../../settings/node-settings.js';
import type { AnswerCaller } from '../effect.js';
import type { CallerLimits } from '../model/route.js';
import type { CallId } from '../model/request.js';
import type { GatewayProtocol } from '../protocol/protocol.js';
import type { CallerRequests } from './caller-requests.js';
import type { EarlyPort } from './early-port.js';
import { formatResponse, type WireResponse } from './format-response.js';
import type { GatewayEventSink } from './gateway-loop.js';
import { findHeader, flattenHeaders, pairHeaders } from './headers.js';
import { listenOn, takeOverPort } from './sockets.js';

/** Bounds until a configuration brings its own. */
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
};

/** Headers larger than this are refused by the parser whatever the configuration says. */
const PARSER_HEADER_BYTES = 65_536;

const TOO_LARGE_STATUS = 413;

/** What the port needs of its process. */
export interface CallerPortContext {
  readonly protocol: GatewayProtocol;
  readonly requests: CallerRequests;
  readonly clock: MonotonicClock;
  readonly sink: GatewayEventSink;
}

const isBodyless = (incoming: IncomingMessage): boolean =>
  incoming.headers['transfer-encoding'] === undefined &&
  (incoming.headers['content-length'] ?? '0') === '0';

/** Listens for callers; carries out `answer-caller`, emits `request-received` and `caller-left`. */
export class CallerPort {
  private readonly server: Server;
  private readonly waiting = new Map<CallId, ServerResponse>();
  /** Connections over which a request has come. */
  private readonly usedConnections = new WeakSet<Socket>();
  private limits = FIRST_LIMITS;
  private open = true;

  constructor(private readonly context: CallerPortContext) {
    this.server = createServer(
      { maxHeaderSize: PARSER_HEADER_BYTES, noDelay: true, requestTimeout: 0 },
      (incoming, outgoing) => this.take(incoming, outgoing),
    );
    this.applyLimits(FIRST_LIMITS);
  }

  /**
   * Listens on `address`, or takes over the port if it is open already; rejects when the address cannot be
   * had.
   */
  async listen(address: HostPort, early?: EarlyPort): Promise<void> {
    if (early?.address.host !== address.host || early.address.port !== address.port) {
      return listenOn(this.server, address);
    }
    await takeOverPort(this.server, early.server);
    early.sockets.forEach((socket) => {
      this.server.emit('connection', socket);
      socket.resume();
    });
  }

  applyLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Sends the final answer of a call. */
  answer({ call, response, closeConnection }: AnswerCaller): void {
    const outgoing = this.waiting.get(call);
    this.forget(call);
    if (outgoing !== undefined && !outgoing.destroyed) {
      this.send(
        outgoing,
        formatResponse(response, this.context.protocol.headers),
        closeConnection || !this.open,
      );
    }
  }

  /** The call is over without an answer. */
  forget(call: CallId): void {
    this.waiting.delete(call);
    this.context.requests.remove(call);
  }

  /** Takes no new connection; open ones are served until they rest. */
  closePort(): void {
    if (this.open) {
      this.open = false;
      NetServer.prototype.close.call(this.server);
    }
  }

  /** Closes every connection at once. */
  destroy(): void {
    this.closePort();
    this.server.closeAllConnections();
  }

  private take(incoming: IncomingMessage, outgoing: ServerResponse): void {
    if (isBodyless(incoming)) {
      incoming.resume();
      this.emitRequest(incoming, outgoing, null);
      return;
    }
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= this.limits.maxBodyBytes) {
        chunks.push(chunk);
      } else if (!outgoing.headersSent) {
        this.send(outgoing, { status: TOO_LARGE_STATUS, headers: [], body: Buffer.of() }, true);
      }
    });
    incoming.on('end', () => {
      if (!outgoing.headersSent) {
        this.emitRequest(incoming, outgoing, Buffer.concat(chunks));
      }
    });
  }

  private emitRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    body: Buffer | null,
  ): void {
    const { protocol, requests, sink, clock } = this.context;
    const headers = pairHeaders(incoming.rawHeaders);
    const requestId = findHeader(headers, protocol.headers.requestId) ?? '';
    const path = incoming.url ?? '/';
    const method = incoming.method ?? 'GET';
    const call = requests.add({ method, path, requestId, headers, body });
    this.waiting.set(call, outgoing);
    outgoing.once('close', () => this.noteClose(call, outgoing));
    const isFirstOnConnection = !this.usedConnections.has(incoming.socket);
    this.usedConnections.add(incoming.socket);
    const budgetMs = Number(findHeader(headers, protocol.headers.timeBudget));
    sink.emit({
      type: 'request-received',
      at: clock.now(),
      call,
      request: {
        requestId,
        host: incoming.headers.host ?? '',
        path,
        ...(budgetMs > 0 && { budgetMs }),
        isFirstOnConnection,
      },
    });
  }

  private noteClose(call: CallId, outgoing: ServerResponse): void {
    if (!outgoing.writableFinished && this.waiting.has(call)) {
      const { sink, clock } = this.context;
      sink.emit({ type: 'caller-left', at: clock.now(), call });
    }
  }

  private send(outgoing: ServerResponse, response: WireResponse, close: boolean): void {
    const { status, headers, body } = response;
    const connection = close ? ['connection', 'close'] : [];
    const length = ['content-length', String(body.length)];
    outgoing.sendDate = false;
    outgoing.writeHead(status, [...flattenHeaders(headers), ...length, ...connection]);
    outgoing.end(body);
  }
}
