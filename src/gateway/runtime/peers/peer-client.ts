/**
 * Sends subqueries to other gateways and follows those that read the store, over one persistent and monitored
 * connection to each.
 */
import { connect } from 'node:net';
import type { MonotonicClock } from '../../../runtime/monotonic-clock.js';
import type {
  CancelSubquery,
  FollowReader,
  SendCrashUpdates,
  SendPeerRequest,
  SendSubquery,
} from '../../effect.js';
import type { PeerRecord } from '../../model/peer-record.js';
import type { PeerProblem, SubqueryId } from '../../model/subquery.js';
import type { CallerRequests } from '../caller-requests.js';
import type { GatewayEventSink } from '../gateway-loop.js';
import { followMessage } from './follow-message.js';
import { frameOf, PeerConnection } from './peer-connection.js';
import type { PeerMessage } from './peer-message.js';
import { SuspectChecks } from './suspect-checks.js';
import { WARM_UP, WARM_UP_SUBQUERIES } from './warm-up.js';

/** Interval at which connections are checked, in milliseconds. */
const SWEEP_MS = 500;

/** A larger time between two sweeps is a pause of this process, after which silence of peers does not count; in ms. */
const PAUSE_THRESHOLD_MS = 1_000;

/**
 * A ping is sent after this time without other messages, in milliseconds. A feeder that does not respond is detected by
 * the first subquery that it does not acknowledge; pings detect most of them earlier.
 */
const PING_AFTER_MS = 2_000;

/** A peer counts as lost if nothing was received from it for this time, in milliseconds. */
const SILENCE_TIMEOUT_MS = 4_500;

/**
 * A suspect that does not answer a ping within this time gets the next one over a new connection, in milliseconds: the
 * old connection may be dead although the peer is alive.
 */
const SUSPECT_TIMEOUT_MS = 1_000;

/** A connection that was not used for this time is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 60_000;

/** Dependencies of the client. */
export interface PeerClientContext {
  readonly requests: CallerRequests;
  readonly clock: MonotonicClock;
  readonly sink: GatewayEventSink;
  /** Name of this gateway. */
  readonly node: string;
}

interface Link {
  readonly peer: string;
  readonly connection: PeerConnection;
  readonly pending: Set<SubqueryId>;
  usedAt: number;
  /** When the oldest unanswered ping was sent; undefined if all are answered. */
  unansweredSince: number | undefined;
  isOpen: boolean;
  problem: PeerProblem;
}

/** Records that the peer answers. Reader updates do not count: they do not show that the peer receives messages. */
const recordAnswer = (link: Link, { type }: PeerMessage): void => {
  if (type !== 'news') {
    link.unansweredSince = undefined;
  }
};

/** Executes the effects that are addressed to peers. */
export class PeerClient {
  private readonly links = new Map<string, Link>();
  private readonly linkBySubquery = new Map<SubqueryId, Link>();
  private readonly suspects = new SuspectChecks();
  private sweepTimer: NodeJS.Timeout | undefined;
  private sweptAt = 0;
  private destroyed = false;

  constructor(private readonly context: PeerClientContext) {}

  send({ id, call, peer, subquery }: SendSubquery): void {
    const pendingRequest = this.context.requests.find(call);
    if (pendingRequest === undefined) {
      this.context.sink.emit({
        type: 'subquery-failed',
        at: this.now,
        subquery: id,
        mayHaveRun: false,
      });
      return;
    }
    const link = this.links.get(peer.name) ?? this.openLink(peer);
    const { method, path, requestId, passedHeaders: headers, body } = pendingRequest;
    link.usedAt = this.now;
    link.pending.add(id);
    this.linkBySubquery.set(id, link);
    link.connection.send({
      type: 'subquery',
      id,
      requestId,
      method,
      path,
      headers,
      body,
      subquery,
    });
  }

  /** Opens a connection ahead of time and sends warm-up subqueries, so that the code on both sides is compiled. */
  preconnect(peer: PeerRecord): void {
    if (this.links.has(peer.name)) {
      return;
    }
    const link = this.openLink(peer);
    for (let count = 0; count < WARM_UP_SUBQUERIES; count += 1) {
      link.connection.send(WARM_UP);
    }
  }

  /** Sends a request to a peer. */
  sendRequest({ id, peer, request }: SendPeerRequest): void {
    const link = this.links.get(peer.name) ?? this.openLink(peer);
    link.usedAt = this.now;
    link.connection.send({ type: 'request', id, from: this.context.node, request });
  }

  /** Requests updates from a reader of the store. */
  follow(follow: FollowReader): void {
    const { peer } = follow;
    const link = this.links.get(peer.name) ?? this.openLink(peer);
    link.connection.send(followMessage(follow));
  }

  /** Ends the updates from a reader. */
  unfollow(reader: string): void {
    this.links.get(reader)?.connection.send({ type: 'unfollow' });
  }

  /** Sends updates about requests that crash replicas to peers; the message is encoded once for all of them. */
  sendCrashUpdates({ peers, news }: SendCrashUpdates): void {
    const frame = frameOf({ type: 'crashes', from: this.context.node, news });
    for (const peer of peers) {
      const link = this.links.get(peer.name) ?? this.openLink(peer);
      link.usedAt = this.now;
      link.connection.sendFrame(frame);
    }
  }

  /** Pings a peer at each sweep until it has answered promptly often enough to be trusted. */
  check(peer: PeerRecord): void {
    this.suspects.add(peer, this.now);
    this.watch();
  }

  cancel({ id, withinMs }: CancelSubquery): void {
    const link = this.linkBySubquery.get(id);
    if (link !== undefined) {
      this.removeSubquery(link, id);
      link.connection.send({ type: 'cancel', id, withinMs });
    }
  }

  /** Closes everything at once. */
  destroy(): void {
    this.destroyed = true;
    clearInterval(this.sweepTimer);
    this.links.forEach(({ connection }) => connection.close());
  }

  private get now(): number {
    return this.context.clock.now();
  }

  private openLink({ name, address }: PeerRecord): Link {
    const socket = connect({ host: address.host, port: address.port });
    const connection = new PeerConnection(socket, this.context.clock, {
      onMessage: (message) => this.handleMessage(link, message),
      onClosed: () => this.handleClosed(link),
    });
    const link: Link = {
      peer: name,
      connection,
      pending: new Set(),
      usedAt: this.now,
      unansweredSince: undefined,
      isOpen: false,
      problem: 'disconnected',
    };
    socket.once('connect', () => {
      link.isOpen = true;
    });
    this.links.set(name, link);
    this.watch();
    return link;
  }

  private handleMessage(link: Link, message: PeerMessage): void {
    const { sink } = this.context;
    const at = this.now;
    recordAnswer(link, message);
    switch (message.type) {
      case 'acknowledged':
        sink.emit({ type: 'subquery-acknowledged', at, subquery: message.id });
        return;
      case 'refused':
        this.removeSubquery(link, message.id);
        sink.emit({ type: 'peer-lost', at, peer: link.peer, problem: 'refusing' });
        sink.emit({ type: 'subquery-failed', at, subquery: message.id, mayHaveRun: false });
        return;
      case 'parts':
        if (message.part.isFinal) {
          this.removeSubquery(link, message.id);
        }
        sink.emit({ type: 'subquery-answered', at, subquery: message.id, part: message.part });
        return;
      case 'pong':
        if (this.suspects.recordPong(link.peer, message.isServing, at)) {
          sink.emit({ type: 'peer-alive', at, peer: link.peer });
        }
        return;
      case 'stopping':
        sink.emit({ type: 'peer-lost', at, peer: link.peer, problem: 'stopping' });
        return;
      case 'answer': {
        const { id, answer } = message;
        sink.emit({ type: 'peer-request-answered', at, id, peer: link.peer, answer });
        return;
      }
      case 'news':
        link.usedAt = at;
        sink.emit({ type: 'reader-update-received', at, reader: link.peer, news: message.news });
        return;
      default:
    }
  }

  /** Pings a suspect. On a new connection, the first ping is sent at the next sweep after it has opened. */
  private pingSuspect(peer: PeerRecord, now: number): void {
    const link = this.links.get(peer.name) ?? this.openLink(peer);
    if (!link.isOpen) {
      return;
    }
    link.unansweredSince ??= now;
    if (now - link.unansweredSince >= SUSPECT_TIMEOUT_MS) {
      link.problem = 'silent';
      link.connection.close();
      return;
    }
    this.suspects.recordPing(peer.name, now);
    link.connection.send({ type: 'ping' });
  }

  private removeSubquery(link: Link, id: SubqueryId): void {
    link.pending.delete(id);
    this.linkBySubquery.delete(id);
  }

  private handleClosed(link: Link): void {
    this.links.delete(link.peer);
    if (this.destroyed) {
      return;
    }
    const { sink } = this.context;
    const problem = link.isOpen ? link.problem : 'unreachable';
    const mayHaveRun = link.isOpen;
    sink.emit({ type: 'peer-lost', at: this.now, peer: link.peer, problem });
    for (const id of link.pending) {
      this.linkBySubquery.delete(id);
      sink.emit({ type: 'subquery-failed', at: this.now, subquery: id, mayHaveRun });
    }
  }

  private watch(): void {
    if (this.sweepTimer === undefined) {
      this.sweptAt = this.now;
      this.sweepTimer = setInterval(() => this.sweep(), SWEEP_MS).unref();
    }
  }

  private sweep(): void {
    const { now } = this;
    const wasPaused = now - this.sweptAt > PAUSE_THRESHOLD_MS;
    this.sweptAt = now;
    for (const link of this.links.values()) {
      this.sweepLink(link, now, wasPaused);
    }
    this.suspects.peers().forEach((peer) => this.pingSuspect(peer, now));
  }

  private sweepLink(link: Link, now: number, wasPaused: boolean): void {
    const { connection } = link;
    if (wasPaused) {
      connection.receivedAt = now;
    }
    if (now - connection.receivedAt > SILENCE_TIMEOUT_MS) {
      link.problem = 'silent';
      connection.close();
    } else if (now - link.usedAt > IDLE_TIMEOUT_MS && link.pending.size === 0) {
      connection.close();
    } else if (now - connection.sentAt > PING_AFTER_MS) {
      connection.send({ type: 'ping' });
    }
  }
}
