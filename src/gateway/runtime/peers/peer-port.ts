/** The port on which other gateways send subqueries and request updates of what is read from the store. */
import { createServer, type Server, type Socket } from 'node:net';
import type { MonotonicClock } from '../../../runtime/monotonic-clock.js';
import type { HostPort } from '../../../settings/node-settings.js';
import type { AnswerPeer, AnswerSubquery, SendReaderUpdate } from '../../effect.js';
import type { CallId } from '../../model/request.js';
import type { PeerExchangeId, PeerRequestId } from '../../model/peer-request.js';
import type { SubqueryId } from '../../model/subquery.js';
import type { CallerRequests } from '../caller-requests.js';
import type { GatewayEventSink } from '../gateway-loop.js';
import { listenOn } from '../sockets.js';
import type { FollowerId } from '../../readers/reader-update.js';
import { positionsOf } from './follow-message.js';
import { frameOf, PeerConnection } from './peer-connection.js';
import type {
  CancelMessage,
  FollowMessage,
  PeerMessage,
  RequestMessage,
  SubqueryMessage,
} from './peer-message.js';

/** Interval at which connections are checked, in milliseconds. */
const SWEEP_MS = 5_000;

/**
 * A connection is closed if nothing was received over it for this time, in milliseconds. Gateways send a ping over idle
 * connections every 2 s (see `peer-client.ts`), so that a silent gateway has crashed or is cut off.
 */
const SILENCE_TIMEOUT_MS = 15_000;

/** A larger time between two sweeps is a pause of this process, after which silence of peers does not count; in ms. */
const PAUSE_THRESHOLD_MS = 6_000;

/** Dependencies of the port. */
export interface PeerPortContext {
  readonly requests: CallerRequests;
  readonly clock: MonotonicClock;
  readonly sink: GatewayEventSink;
}

/** A connected gateway; `calls` are its subqueries in progress. */
interface Coordinator {
  readonly connection: PeerConnection;
  readonly calls: Map<SubqueryId, CallId>;
  /** Subqueries that were received and have not been started. */
  readonly unstarted: Set<SubqueryId>;
  /** Its identifier as a follower; undefined while it does not follow. */
  follower: FollowerId | undefined;
}

/** A received request that has not been answered. */
interface OpenExchange {
  readonly connection: PeerConnection;
  readonly id: PeerRequestId;
}

interface OpenCall {
  readonly coordinator: Coordinator;
  readonly id: SubqueryId;
}

/** Listens for other gateways; executes the effects about subqueries and followers. */
export class PeerPort {
  private isServing = false;
  private readonly server: Server;
  private readonly coordinators = new Set<Coordinator>();
  private readonly openCalls = new Map<CallId, OpenCall>();
  private readonly followers = new Map<FollowerId, PeerConnection>();
  private nextFollower: FollowerId = 1;
  private readonly exchanges = new Map<PeerExchangeId, OpenExchange>();
  private nextExchange: PeerExchangeId = 1;
  private readonly sweepTimer: NodeJS.Timeout;
  private sweptAt: number;

  constructor(private readonly context: PeerPortContext) {
    this.server = createServer((socket) => this.accept(socket));
    this.sweptAt = context.clock.now();
    this.sweepTimer = setInterval(() => this.sweep(), SWEEP_MS).unref();
  }

  /** Listens on `address`; rejects if the address is not available. */
  listen(address: HostPort): Promise<void> {
    return listenOn(this.server, address);
  }

  /** Sets whether subqueries are accepted, which is reported in answers to pings. */
  setServing(isServing: boolean): void {
    this.isServing = isServing;
  }

  acknowledge(call: CallId): void {
    const open = this.openCalls.get(call);
    open?.coordinator.connection.send({ type: 'acknowledged', id: open.id });
  }

  answer({ call, part }: AnswerSubquery): void {
    const open = this.openCalls.get(call);
    open?.coordinator.connection.send({ type: 'parts', id: open.id, part });
    if (part.isFinal) {
      this.discard(call);
    }
  }

  refuse(call: CallId): void {
    const open = this.openCalls.get(call);
    open?.coordinator.connection.send({ type: 'refused', id: open.id });
    this.discard(call);
  }

  /** Answers a request of another gateway; without effect if its connection has been closed. */
  answerRequest({ exchange, answer }: AnswerPeer): void {
    const open = this.exchanges.get(exchange);
    this.exchanges.delete(exchange);
    open?.connection.send({ type: 'answer', id: open.id, answer });
  }

  /** Sends an update to followers; the message is encoded once for all of them. */
  sendUpdate({ followers, news }: SendReaderUpdate): void {
    const frame = frameOf({ type: 'news', news });
    followers.forEach((follower) => this.followers.get(follower)?.sendFrame(frame));
  }

  /** Discards a call that has ended. */
  discard(call: CallId): void {
    const open = this.openCalls.get(call);
    if (open !== undefined) {
      open.coordinator.calls.delete(open.id);
      this.openCalls.delete(call);
      this.context.requests.remove(call);
    }
  }

  /** Announces to all connected gateways that no more subqueries are accepted. */
  announceStop(): void {
    this.coordinators.forEach(({ connection }) => connection.send({ type: 'stopping' }));
  }

  /** Closes everything at once. */
  destroy(): void {
    clearInterval(this.sweepTimer);
    this.server.close();
    this.coordinators.forEach(({ connection }) => connection.close());
  }

  /** Closes connections over which nothing was received for too long. */
  private sweep(): void {
    const now = this.context.clock.now();
    const wasPaused = now - this.sweptAt > PAUSE_THRESHOLD_MS;
    this.sweptAt = now;
    const silent = [...this.coordinators].filter(
      ({ connection }) => now - connection.receivedAt > SILENCE_TIMEOUT_MS,
    );
    if (!wasPaused) {
      silent.forEach(({ connection }) => connection.close());
    }
  }

  private accept(socket: Socket): void {
    const connection = new PeerConnection(socket, this.context.clock, {
      onMessage: (message) => this.handleMessage(coordinator, message),
      onClosed: () => this.handleClosed(coordinator),
    });
    const coordinator: Coordinator = {
      connection,
      calls: new Map(),
      unstarted: new Set(),
      follower: undefined,
    };
    this.coordinators.add(coordinator);
  }

  private handleMessage(coordinator: Coordinator, message: PeerMessage): void {
    switch (message.type) {
      case 'subquery':
        this.handleSubquery(coordinator, message);
        return;
      case 'cancel':
        this.cancel(coordinator, message);
        return;
      case 'ping':
        coordinator.connection.send({ type: 'pong', isServing: this.isServing });
        return;
      case 'follow':
        this.handleFollow(coordinator, message);
        return;
      case 'unfollow':
        this.removeFollower(coordinator);
        return;
      case 'request':
        this.handleRequest(coordinator, message);
        return;
      case 'crashes': {
        const { sink, clock } = this.context;
        const { from, news } = message;
        sink.emit({ type: 'crash-updates-received', at: clock.now(), from, news });
        return;
      }
      default:
    }
  }

  private handleRequest({ connection }: Coordinator, { id, from, request }: RequestMessage): void {
    const { sink, clock } = this.context;
    const exchange = this.nextExchange;
    this.nextExchange += 1;
    this.exchanges.set(exchange, { connection, id });
    sink.emit({ type: 'peer-request-received', at: clock.now(), exchange, from, request });
  }

  private handleFollow(coordinator: Coordinator, message: FollowMessage): void {
    if (coordinator.follower === undefined) {
      coordinator.follower = this.nextFollower;
      this.nextFollower += 1;
      this.followers.set(coordinator.follower, coordinator.connection);
    }
    const { follower } = coordinator;
    const positions = positionsOf(message);
    const at = this.context.clock.now();
    const { configuration } = message;
    this.context.sink.emit({
      type: 'follower-joined',
      at,
      follower,
      positions,
      ...(configuration !== undefined && { configuration }),
    });
  }

  private removeFollower(coordinator: Coordinator): void {
    const { follower } = coordinator;
    if (follower !== undefined) {
      coordinator.follower = undefined;
      this.followers.delete(follower);
      const at = this.context.clock.now();
      this.context.sink.emit({ type: 'follower-left', at, follower });
    }
  }

  /**
   * Starts a subquery after all received messages have been read. After a process pause, a subquery and its
   * cancellation may be read together, and the subquery must not be started.
   */
  private handleSubquery(coordinator: Coordinator, message: SubqueryMessage): void {
    coordinator.unstarted.add(message.id);
    setImmediate(() => {
      if (coordinator.unstarted.delete(message.id)) {
        this.startSubquery(coordinator, message);
      }
    });
  }

  private startSubquery(coordinator: Coordinator, message: SubqueryMessage): void {
    const { requests, sink, clock } = this.context;
    const { id, requestId, method, path, headers, body, subquery } = message;
    const requestFields = { method, path, requestId, passedHeaders: headers };
    const { call, fingerprint } = requests.addPending(
      { ...requestFields, body: body === null ? null : Buffer.from(body) },
      subquery.fingerprint,
    );
    coordinator.calls.set(id, call);
    this.openCalls.set(call, { coordinator, id });
    const at = clock.now();
    sink.emit({ type: 'subquery-received', at, call, requestId, fingerprint, subquery });
  }

  private cancel(coordinator: Coordinator, { id, withinMs }: CancelMessage): void {
    coordinator.unstarted.delete(id);
    const call = coordinator.calls.get(id);
    if (call !== undefined) {
      const at = this.context.clock.now();
      this.context.sink.emit({ type: 'subquery-cancelled', at, call, withinMs });
    }
  }

  private handleClosed(coordinator: Coordinator): void {
    this.coordinators.delete(coordinator);
    coordinator.unstarted.clear();
    for (const [exchange, { connection }] of this.exchanges) {
      if (connection === coordinator.connection) {
        this.exchanges.delete(exchange);
      }
    }
    this.removeFollower(coordinator);
    const at = this.context.clock.now();
    for (const call of [...coordinator.calls.values()]) {
      this.context.sink.emit({ type: 'subquery-cancelled', at, call, withinMs: 0 });
    }
  }
}
