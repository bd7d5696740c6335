/** The port on which other gateways send subqueries and ask to be told what is read from the store. */
import { createServer, type Server, type Socket } from 'node:net';
import type { MonotonicClock } from '../../../runtime/monotonic-clock.js';
import type { HostPort } from '../../../settings/node-settings.js';
import type { AnswerSubquery, TellFollowers } from '../../effect.js';
import type { CallId } from '../../model/request.js';
import type { SubqueryId } from '../../model/subquery.js';
import type { CallerRequests } from '../caller-requests.js';
import type { GatewayEventSink } from '../gateway-loop.js';
import { listenOn } from '../sockets.js';
import type { FollowerId } from '../../readers/reader-update.js';
import { positionsOf } from './follow-message.js';
import { frameOf, PeerConnection } from './peer-connection.js';
import type { CancelMessage, FollowMessage, PeerMessage, SubqueryMessage } from './peer-message.js';

/** How often connections are looked over, in milliseconds. */
const SWEEP_MS = 5_000;

/**
 * A gateway that keeps a connection asks each 2 s whether this one lives (see `peer-client.ts`). One that
 * has said nothing for so long is gone without a word, in milliseconds.
 */
const SILENCE_TIMEOUT_MS = 15_000;

/** This process itself stood still when a look comes so late: nobody is judged then. */
const PAUSE_THRESHOLD_MS = 6_000;

/** What the port needs of its process. */
export interface PeerPortContext {
  readonly requests: CallerRequests;
  readonly clock: MonotonicClock;
  readonly sink: GatewayEventSink;
}

/** One gateway that asks; `calls` are its subqueries that are not over. */
interface Coordinator {
  readonly connection: PeerConnection;
  readonly calls: Map<SubqueryId, CallId>;
  /** Subqueries that were read and have not begun. */
  readonly unstarted: Set<SubqueryId>;
  /** Its name as a follower; undefined before it follows. */
  follower: FollowerId | undefined;
}

interface OpenCall {
  readonly coordinator: Coordinator;
  readonly id: SubqueryId;
}

/** Listens for other gateways; carries out the effects about subqueries of others. */
export class PeerPort {
  private isServing = false;
  private readonly server: Server;
  private readonly coordinators = new Set<Coordinator>();
  private readonly openCalls = new Map<CallId, OpenCall>();
  private readonly followers = new Map<FollowerId, PeerConnection>();
  private nextFollower: FollowerId = 1;
  private readonly sweepTimer: NodeJS.Timeout;
  private sweptAt: number;

  constructor(private readonly context: PeerPortContext) {
    this.server = createServer((socket) => this.accept(socket));
    this.sweptAt = context.clock.now();
    this.sweepTimer = setInterval(() => this.sweep(), SWEEP_MS).unref();
  }

  /** Listens on `address`; rejects when the address cannot be had. */
  listen(address: HostPort): Promise<void> {
    return listenOn(this.server, address);
  }

  /** Whether subqueries are taken; peers that ask are told. */
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
      this.forget(call);
    }
  }

  refuse(call: CallId): void {
    const open = this.openCalls.get(call);
    open?.coordinator.connection.send({ type: 'refused', id: open.id });
    this.forget(call);
  }

  /** Tells followers something; it is encoded once for all of them. */
  sendUpdate({ followers, news }: TellFollowers): void {
    const frame = frameOf({ type: 'news', news });
    followers.forEach((follower) => this.followers.get(follower)?.sendFrame(frame));
  }

  /** The call is over. */
  forget(call: CallId): void {
    const open = this.openCalls.get(call);
    if (open !== undefined) {
      open.coordinator.calls.delete(open.id);
      this.openCalls.delete(call);
      this.context.requests.remove(call);
    }
  }

  /** Tells all gateways that ask to go elsewhere. */
  announceStop(): void {
    this.coordinators.forEach(({ connection }) => connection.send({ type: 'stopping' }));
  }

  /** Closes everything at once. */
  destroy(): void {
    clearInterval(this.sweepTimer);
    this.server.close();
    this.coordinators.forEach(({ connection }) => connection.close());
  }

  /** Closes the connections of gateways that have gone without a word. */
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
      case 'crashes': {
        const { sink, clock } = this.context;
        const { from, news } = message;
        sink.emit({ type: 'crashes-told', at: clock.now(), from, news });
        return;
      }
      default:
    }
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
   * A subquery begins once all that has arrived is read: a process that stood still finds it together
   * with its cancellation, and must not begin it then.
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
    const held = { method, path, requestId, passedHeaders: headers };
    const { call, fingerprint } = requests.addPending({
      ...held,
      body: body === null ? null : Buffer.from(body),
    });
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
    this.removeFollower(coordinator);
    const at = this.context.clock.now();
    for (const call of [...coordinator.calls.values()]) {
      this.context.sink.emit({ type: 'subquery-cancelled', at, call, withinMs: 0 });
    }
  }
}
