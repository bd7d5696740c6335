/** All links of a node. A link is opened on demand and carries messages in both directions. */
import { connect, type Socket } from 'node:net';
import type { SendLink } from '../../core/effect.js';
import type { NodeId } from '../../core/identifiers.js';
import type { PeerAddress } from '../../protocol/node-address.js';
import type { LinkMessage } from '../../protocol/peer-message.js';
import type { EventSink } from '../core-loop.js';
import type { MonotonicClock } from '../monotonic-clock.js';
import type { LogWriter } from '../node-log.js';
import { AcceptorHandshake, ConnectorHandshake } from './handshake.js';
import { Link, type LinkListener } from './link.js';
import { DEFAULT_LINK_TIMING, type LinkTiming } from './link-timing.js';
import type { SharedSecret } from './shared-secret.js';

/** Maximum number of accepted connections that are not authenticated yet. */
const MAX_UNAUTHENTICATED = 256;

/** Maximum number of messages that are queued until a link opens. */
const MAX_QUEUED_MESSAGES = 10_000;

/** First and longest delay before connecting again after a failure, in milliseconds; doubles each time. */
const FIRST_BACKOFF_MS = 50;
const LAST_BACKOFF_MS = 1_000;

/** Dependencies of `PeerLinks`. */
export interface PeerLinksContext {
  readonly self: NodeId;
  readonly secret: SharedSecret;
  readonly sink: EventSink;
  readonly clock: MonotonicClock;
  readonly log: LogWriter;
}

interface Peer {
  readonly node: NodeId;
  address: PeerAddress | undefined;
  link: Link | undefined;
  dialing: Link | undefined;
  outgoing: LinkMessage[];
  backoffMs: number;
  /** Earliest time of the next connect. */
  nextDialAt: number;
}

/** Manages the links and carries out `send-link`. */
export class PeerLinks implements LinkListener {
  private readonly peers = new Map<NodeId, Peer>();
  private readonly links = new Set<Link>();
  private readonly pending = new Set<Peer>();
  private readonly sweeper: NodeJS.Timeout;
  private flushScheduled = false;
  private sweptAt: number;
  private ended = false;

  constructor(
    private readonly context: PeerLinksContext,
    private readonly timing: LinkTiming = DEFAULT_LINK_TIMING,
  ) {
    this.sweptAt = context.clock.now();
    this.sweeper = setInterval(() => this.sweep(), this.timing.sweepIntervalMs);
  }

  /** Number of peers with an open link. */
  get openLinks(): number {
    return [...this.peers.values()].filter((peer) => peer.link !== undefined).length;
  }

  /** Queues a message; all messages of one turn of the loop are sent in one frame. */
  send(effect: SendLink): void {
    const peer = this.peerOf(effect.to);
    peer.address = effect.address;
    peer.outgoing.push(effect.message);
    this.pending.add(peer);
    if (!this.flushScheduled) {
      this.flushScheduled = true;
      setImmediate(() => this.flush());
    }
  }

  /** Accepts a connection that a peer opened. */
  accept(socket: Socket): void {
    const unauthenticated = [...this.links].filter((link) => link.peer === undefined).length;
    if (this.ended || unauthenticated >= MAX_UNAUTHENTICATED) {
      socket.destroy();
      return;
    }
    const { self, secret, clock } = this.context;
    this.links.add(new Link(socket, new AcceptorHandshake(secret, self), clock, this));
  }

  /** Sends the queued messages and closes all links gracefully. */
  end(): void {
    this.flush();
    this.stop();
    this.links.forEach((link) => link.end());
  }

  /** Closes all links at once. */
  destroy(): void {
    this.stop();
    this.links.forEach((link) => link.close(undefined));
  }

  onReady(link: Link, node: NodeId): void {
    const peer = this.peerOf(node);
    peer.link = link;
    peer.dialing = peer.dialing === link ? undefined : peer.dialing;
    peer.backoffMs = FIRST_BACKOFF_MS;
    peer.nextDialAt = 0;
    this.flushPeer(peer);
  }

  onMessages(_link: Link, node: NodeId, messages: readonly LinkMessage[]): void {
    for (const message of messages) {
      const at = this.context.clock.now();
      this.context.sink.emit({ type: 'link-message-arrived', at, from: node, message });
    }
  }

  onClosed(link: Link, problem: string | undefined): void {
    this.links.delete(link);
    if (this.ended) {
      return;
    }
    const peer = this.peerOfLink(link);
    if (problem !== undefined) {
      const name = peer?.node ?? link.peer ?? 'an unauthenticated peer';
      this.context.log('debug', 'peer', `The link to ${name} closed: ${problem}.`);
    }
    if (peer?.dialing === link) {
      this.handleDialFailure(peer);
    } else if (peer?.link === link) {
      peer.link = this.otherLinkTo(peer.node);
      this.reportUnlessIdle(peer, link, problem);
    }
  }

  private stop(): void {
    this.ended = true;
    clearInterval(this.sweeper);
    this.pending.clear();
  }

  private peerOf(node: NodeId): Peer {
    const existing = this.peers.get(node);
    if (existing !== undefined) {
      return existing;
    }
    const created: Peer = {
      node,
      address: undefined,
      link: undefined,
      dialing: undefined,
      outgoing: [],
      backoffMs: FIRST_BACKOFF_MS,
      nextDialAt: 0,
    };
    this.peers.set(node, created);
    return created;
  }

  private peerOfLink(link: Link): Peer | undefined {
    if (link.peer !== undefined) {
      return this.peers.get(link.peer);
    }
    return [...this.peers.values()].find((peer) => peer.dialing === link);
  }

  private otherLinkTo(node: NodeId): Link | undefined {
    return [...this.links].find((link) => link.peer === node);
  }

  private flush(): void {
    this.flushScheduled = false;
    const peers = [...this.pending];
    this.pending.clear();
    peers.forEach((peer) => this.flushPeer(peer));
  }

  private flushPeer(peer: Peer): void {
    if (peer.outgoing.length === 0) {
      return;
    }
    if (peer.link !== undefined) {
      const messages = peer.outgoing;
      peer.outgoing = [];
      peer.link.send(messages);
      return;
    }
    const isOverLimit = peer.outgoing.length > MAX_QUEUED_MESSAGES;
    if (isOverLimit || (peer.dialing === undefined && this.context.clock.now() < peer.nextDialAt)) {
      this.reportLost(peer);
      return;
    }
    this.dial(peer);
  }

  private dial(peer: Peer): void {
    if (peer.dialing !== undefined || peer.address === undefined || this.ended) {
      return;
    }
    const { self, secret, clock } = this.context;
    const handshake = new ConnectorHandshake(secret, self, peer.node);
    const socket = connect({ host: peer.address.host, port: peer.address.port });
    const link = new Link(socket, handshake, clock, this);
    peer.dialing = link;
    this.links.add(link);
    link.sendHandshake(handshake.begin());
  }

  private handleDialFailure(peer: Peer): void {
    peer.dialing = undefined;
    const jitter = 0.5 + Math.random();
    peer.nextDialAt = this.context.clock.now() + peer.backoffMs * jitter;
    peer.backoffMs = Math.min(LAST_BACKOFF_MS, peer.backoffMs * 2);
    if (peer.link === undefined) {
      this.reportLost(peer);
    }
  }

  /** No message is lost if the peer closed an idle link gracefully, so that is not reported. */
  private reportUnlessIdle(peer: Peer, link: Link, problem: string | undefined): void {
    const idleMs = this.context.clock.now() - link.lastMessageAt;
    const wasIdle =
      problem === undefined && idleMs > this.timing.idleCloseMs / 2 && peer.outgoing.length === 0;
    if (!wasIdle) {
      this.reportLost(peer);
    }
  }

  private reportLost(peer: Peer): void {
    peer.outgoing = [];
    const at = this.context.clock.now();
    this.context.sink.emit({ type: 'link-lost', at, peer: peer.node });
  }

  private sweep(): void {
    const now = this.context.clock.now();
    const wasPaused = now - this.sweptAt > this.timing.processPauseMs;
    this.sweptAt = now;
    if (wasPaused) {
      return;
    }
    for (const link of [...this.links]) {
      this.sweepLink(link, now);
    }
    for (const peer of this.peers.values()) {
      const isUsed = peer.link ?? peer.dialing;
      if (
        isUsed === undefined &&
        peer.outgoing.length === 0 &&
        now - peer.nextDialAt > this.timing.idleCloseMs
      ) {
        this.peers.delete(peer.node);
      }
    }
  }

  private sweepLink(link: Link, now: number): void {
    if (link.peer === undefined) {
      if (now - link.lastMessageAt > this.timing.handshakeTimeoutMs) {
        link.close('the handshake timed out');
      }
      return;
    }
    if (now - link.lastReceivedAt > this.timing.receiveTimeoutMs) {
      link.close('nothing was received within the timeout');
    } else if (now - link.lastMessageAt > this.timing.idleCloseMs) {
      this.endIdleLink(link, link.peer);
    } else if (now - link.lastSentAt >= this.timing.heartbeatIntervalMs) {
      link.sendHeartbeat();
    }
  }

  private endIdleLink(link: Link, node: NodeId): void {
    const peer = this.peers.get(node);
    this.links.delete(link);
    link.end();
    if (peer?.link === link) {
      peer.link = this.otherLinkTo(node);
    }
  }
}
