/**
 * The port on which callers connect: reads complete requests and sends the final answers.
 *
 * Bytes pass through unchanged. The port therefore uses Node's HTTP server directly; hono would parse requests and
 * rebuild answers.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';
import type { HostPort } from '../../settings/node-settings.js';
import type { AnswerCaller } from '../effect.js';
import type { CallerLimits } from '../model/route.js';
import type { CallerRequest, CallId, OpenExchange, Refusal } from '../model/request.js';
import type { GatewayProtocol } from '../protocol/protocol.js';
import { CallerConnection } from './caller-connection.js';
import {
  DEFAULT_LIMITS,
  headerBytes,
  PARSER_HEADER_BYTES,
  TOLERATED_HEADER_BYTES,
} from './caller-limits.js';
import type { CallerRequests } from './caller-requests.js';
import type { EarlyPort } from './early-port.js';
import { formatResponse } from './format-response.js';
import type { GatewayEventSink } from './gateway-loop.js';
import { findHeader, pairHeaders } from './headers.js';
import { readKeyDigests } from './key-digest.js';
import { discardInput, LingeringConnections } from './lingering-close.js';
import { isBodyless, readBody } from './read-body.js';
import { readTarget } from './request-target.js';
import { closeAfterAccepting, listenOn, stopListening, takeOverPort } from './sockets.js';
import {
  CONNECT_REQUEST,
  describeUnreadable,
  formatUnreadable,
  type UnreadableRequest,
} from './unreadable-request.js';

/** Maximum number of exchanges that are listed for the log. */
const MAX_LISTED_EXCHANGES = 20;

/** Dependencies of the port. */
export interface CallerPortContext {
  readonly protocol: GatewayProtocol;
  readonly requests: CallerRequests;
  readonly clock: MonotonicClock;
  readonly sink: GatewayEventSink;
}

/** Listens for callers; executes `answer-caller`, emits `request-received`, `unreadable-refused` and `caller-left`. */
export class CallerPort {
  private readonly server: Server;
  private readonly pendingResponses = new Map<CallId, ServerResponse>();
  /** Exchanges whose request is being received, or whose answer has not been sent completely. */
  private readonly exchanges = new Set<ServerResponse>();
  private readonly connections = new WeakMap<Socket, CallerConnection>();
  private readonly lingering = new LingeringConnections();
  /** Connections on which a request has been received. */
  private readonly usedConnections = new WeakSet<Socket>();
  /** Connections on which malformed input has been received. */
  private readonly unreadableConnections = new WeakSet<Socket>();
  private limits = DEFAULT_LIMITS;
  private isOpen = true;

  constructor(private readonly context: CallerPortContext) {
    const options = { maxHeaderSize: PARSER_HEADER_BYTES, noDelay: true, requestTimeout: 0 };
    const handleRequest = (incoming: IncomingMessage, outgoing: ServerResponse): void =>
      this.handleRequest(incoming, outgoing);
    // The reducer refuses requests without a host, to count and log them.
    this.server = createServer({ ...options, requireHostHeader: false }, handleRequest);
    // An unknown expectation is ignored (RFC 9110, section 10.1.1) rather than refused with 417.
    this.server.on('checkExpectation', handleRequest);
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) =>
      this.handleClientError(error, socket),
    );
    this.server.on('connect', (incoming: IncomingMessage) => this.refuseConnect(incoming.socket));
    // By default, Node drops headers beyond a maximum count, possibly the host or the request identifier. Their total
    // size is limited already.
    this.server.maxHeadersCount = 0;
    this.applyLimits(DEFAULT_LIMITS);
  }

  /**
   * Listens on `address`, or takes over the early port if that has the same address.
   *
   * @throws if the address is not available.
   */
  async listen(address: HostPort, earlyPort?: EarlyPort): Promise<void> {
    if (earlyPort?.address.host !== address.host || earlyPort.address.port !== address.port) {
      return listenOn(this.server, address);
    }
    await takeOverPort(this.server, earlyPort.server);
    earlyPort.sockets.forEach((socket) => {
      this.server.emit('connection', socket);
      socket.resume();
    });
  }

  applyLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Number of exchanges as above, and of connections that the caller has not closed after their last answer. */
  get openExchanges(): number {
    return this.exchanges.size + this.lingering.size;
  }

  /** The first of them. */
  get listedExchanges(): readonly OpenExchange[] {
    return [...this.exchanges].slice(0, MAX_LISTED_EXCHANGES).map(({ req }) => ({
      requestId: this.requestIdOf(req),
      isReceived: req.complete,
      unsentBytes: req.socket.writableLength,
    }));
  }

  /** Sends the final answer of a call. */
  answer({ call, response, closeConnection }: AnswerCaller): void {
    const outgoing = this.pendingResponses.get(call);
    this.discard(call);
    if (outgoing !== undefined) {
      this.connectionOf(outgoing).answer(
        outgoing,
        formatResponse(response, this.context.protocol.headers),
        closeConnection || !this.isOpen,
      );
    }
  }

  /** Discards a call; it gets no further answer. */
  discard(call: CallId): void {
    this.pendingResponses.delete(call);
    this.context.requests.remove(call);
  }

  /** Accepts no new connections except those that wait already; open ones are served until they are idle. */
  closePort(): void {
    if (this.isOpen) {
      this.isOpen = false;
      closeAfterAccepting(this.server);
    }
  }

  /** Refuses the requests whose bodies are still being received, as the process cannot wait for the rest. */
  refuseIncomplete(refusal: Refusal): void {
    const pending = new Set(this.pendingResponses.values());
    const response = formatResponse(refusal, this.context.protocol.headers);
    for (const outgoing of this.exchanges) {
      const connection = this.connectionOf(outgoing);
      if (!pending.has(outgoing) && !connection.isAnswered(outgoing)) {
        connection.answer(outgoing, response, true);
      }
    }
  }

  /** Closes every connection at once. */
  destroy(): void {
    this.isOpen = false;
    stopListening(this.server);
    this.server.closeAllConnections();
  }

  private requestIdOf({ rawHeaders }: IncomingMessage): string {
    return findHeader(pairHeaders(rawHeaders), this.context.protocol.headers.requestId) ?? '';
  }

  private connectionOf({ req: { socket } }: ServerResponse): CallerConnection {
    return this.connectionOn(socket);
  }

  private connectionOn(socket: Socket): CallerConnection {
    const connection = this.connections.get(socket) ?? new CallerConnection(socket, this.lingering);
    this.connections.set(socket, connection);
    return connection;
  }

  private handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const connection = this.connectionOf(outgoing);
    if (connection.isClosed) {
      incoming.resume();
      const { sink, clock } = this.context;
      const requestId = this.requestIdOf(incoming);
      sink.emit({ type: 'request-ignored', at: clock.now(), requestId });
      return;
    }
    this.exchanges.add(outgoing);
    connection.begin(outgoing);
    connection.onceEnded(outgoing, () => this.exchanges.delete(outgoing));
    const { maxHeaderBytes } = this.limits;
    if (headerBytes(incoming) > Math.max(maxHeaderBytes, TOLERATED_HEADER_BYTES)) {
      incoming.resume();
      this.emitRequest(incoming, outgoing, null, 'headers');
    } else if (isBodyless(incoming)) {
      incoming.resume();
      this.emitRequest(incoming, outgoing, null);
    } else {
      this.handleBody(incoming, outgoing);
    }
  }

  private handleBody(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const currentLimit = (): number => this.limits.maxBodyBytes;
    readBody(incoming, currentLimit, (body) => {
      // A request that was refused before its end must not run, although the rest of it is read.
      if (!this.connectionOf(outgoing).isAnswered(outgoing)) {
        this.emitRequest(incoming, outgoing, body ?? null, body === undefined ? 'body' : undefined);
      }
    });
  }

  private emitRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    body: Buffer | null,
    excess?: CallerRequest['excess'],
  ): void {
    const { protocol, requests, sink, clock } = this.context;
    const { url = '/', rawHeaders } = incoming;
    const { host, path, headers } = readTarget(
      url,
      incoming.headers.host ?? '',
      pairHeaders(rawHeaders),
    );
    const requestId = findHeader(headers, protocol.headers.requestId) ?? '';
    const method = incoming.method ?? 'GET';
    const { call, fingerprint } = requests.add({ method, path, requestId, headers, body });
    this.pendingResponses.set(call, outgoing);
    this.connectionOf(outgoing).onceEnded(outgoing, () => this.handleEnd(call, outgoing));
    const isFirstOnConnection = !this.usedConnections.has(incoming.socket);
    this.usedConnections.add(incoming.socket);
    const budgetMs = Number(findHeader(headers, protocol.headers.timeBudget));
    const keyDigests = excess === undefined ? readKeyDigests(headers, protocol.headers.apiKey) : [];
    sink.emit({
      type: 'request-received',
      at: clock.now(),
      call,
      request: {
        requestId,
        fingerprint,
        host,
        path,
        ...(keyDigests.length > 0 && { keyDigests }),
        ...(budgetMs > 0 && { budgetMs }),
        isFirstOnConnection,
        ...(excess !== undefined && { excess }),
      },
    });
  }

  /** Handles malformed input or a broken connection. */
  private handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    const unreadable = describeUnreadable(error.code);
    const connection = this.connectionOn(socket);
    const isAborted = unreadable?.problem === 'cut-off' && connection.isAnswerDue;
    if (unreadable === undefined || isAborted) {
      socket.destroy();
    } else if (!connection.isClosed && !this.unreadableConnections.has(socket)) {
      this.unreadableConnections.add(socket);
      // Sent first, the refusal would count as the answer to an earlier valid request on the connection.
      connection.refuseAfterAnswers(() => this.refuseUnreadable(unreadable, socket));
    }
  }

  /** Refuses a request for a tunnel, after which Node passes the connection on with neither parser nor listeners. */
  private refuseConnect(socket: Socket): void {
    socket.on('error', () => socket.destroy());
    discardInput(socket);
    this.connectionOn(socket).refuseAfterAnswers(() =>
      this.refuseUnreadable(CONNECT_REQUEST, socket),
    );
  }

  private refuseUnreadable(unreadable: UnreadableRequest, socket: Socket): void {
    if (!socket.writable) {
      return;
    }
    const { remoteAddress: from = '' } = socket;
    socket.write(formatUnreadable(unreadable));
    socket.destroySoon();
    const { sink, clock } = this.context;
    sink.emit({ type: 'unreadable-refused', at: clock.now(), from, ...unreadable });
  }

  private handleEnd(call: CallId, outgoing: ServerResponse): void {
    if (!outgoing.writableFinished && this.pendingResponses.has(call)) {
      const { sink, clock } = this.context;
      sink.emit({ type: 'caller-left', at: clock.now(), call });
    }
  }
}
