/**
 * The virtual network between nodes. Datagrams may be lost, duplicated and reordered. Links deliver
 * in order and without loss until they break; the break is reported to each end that is still up.
 */
import type { Random } from '../core/random.js';
import type { MembershipMessage } from '../protocol/membership-messages.js';
import type { PeerAddress } from '../protocol/node-address.js';
import type { LinkMessage, PeerMessage } from '../protocol/peer-message.js';
import {
  findConditions,
  type LinkConditions,
  type NetworkConditions,
} from './network-conditions.js';
import { addressKey, type NetworkEndpoint, type TrafficCount } from './network-endpoint.js';
import type { DisturbanceTracker } from './disturbance-tracker.js';
import { Reachability } from './reachability.js';
import type { Scheduler } from './scheduler.js';
import { areBothEndsUp, openLink, reserveArrivalTime, type VirtualLink } from './virtual-link.js';

/** Delay until peers detect a killed process, in milliseconds; its kernel closes its sockets. */
const RESET_DETECTION_MS = 1;

/** Returns the size of a message on the wire, in bytes. */
export type MeasureMessage = (message: PeerMessage) => number;

/** Options of a virtual network. */
export interface VirtualNetworkOptions {
  readonly scheduler: Scheduler;
  readonly random: Random;
  readonly conditions: NetworkConditions;
  readonly disturbances?: DisturbanceTracker;
  /** Measures message sizes, which slows the simulation; traffic is not counted when absent. */
  readonly measure?: MeasureMessage;
}

/** Carries messages between the endpoints added to it. */
export class VirtualNetwork {
  readonly reachability: Reachability;
  conditions: NetworkConditions;
  /** Measures message sizes; may be changed while the simulation runs. */
  measure: MeasureMessage | undefined;
  private readonly endpoints = new Map<string, NetworkEndpoint>();
  private readonly links = new Map<string, Map<string, VirtualLink>>();
  private readonly traffic = new Map<string, Map<string, TrafficCount>>();

  constructor(private readonly options: VirtualNetworkOptions) {
    this.conditions = options.conditions;
    this.measure = options.measure;
    this.reachability = new Reachability(options.disturbances);
  }

  /** Adds a process; replaces an earlier one at the same address. */
  add(endpoint: NetworkEndpoint): void {
    this.endpoints.set(addressKey(endpoint.address), endpoint);
  }

  /** Returns the traffic that a process has sent, by message type. */
  trafficOf(name: string): ReadonlyMap<string, TrafficCount> {
    return this.traffic.get(name) ?? new Map<string, TrafficCount>();
  }

  /** Resets the traffic counts. */
  resetTraffic(): void {
    this.traffic.clear();
  }

  /** Sends a datagram, which may be lost, duplicated or reordered. */
  sendDatagram(from: NetworkEndpoint, to: PeerAddress, message: MembershipMessage): void {
    this.count(from, message);
    const receiver = this.endpoints.get(addressKey(to));
    if (receiver === undefined) {
      return;
    }
    const conditions = findConditions(this.conditions, from.zone, receiver.zone);
    this.deliverDatagram(from, receiver, message, conditions);
    if (this.drawChance(conditions.duplicateShare)) {
      this.deliverDatagram(from, receiver, message, conditions);
    }
  }

  /** Sends a message over the link to `peer` at `to`; opens the link if there is none. */
  sendLink(from: NetworkEndpoint, to: PeerAddress, peer: string, message: LinkMessage): void {
    this.count(from, message);
    const receiver = this.endpoints.get(addressKey(to));
    if (receiver === undefined || receiver.name !== peer) {
      this.reportConnectFailure(from, peer);
      return;
    }
    const link = this.findOrOpenLink(from, receiver);
    if (link.broken) {
      return;
    }
    if (!areBothEndsUp(link) || this.reachability.isCut(from, receiver)) {
      this.breakLink(link);
      return;
    }
    this.deliverOverLink(link, from, receiver, message);
  }

  /** Breaks all links of a process; call it after the process has ended. */
  closeLinksOf(name: string): void {
    for (const link of [...(this.links.get(name)?.values() ?? [])]) {
      this.breakLink(link);
    }
  }

  private deliverDatagram(
    from: NetworkEndpoint,
    receiver: NetworkEndpoint,
    message: MembershipMessage,
    conditions: LinkConditions,
  ): void {
    if (this.drawChance(conditions.lossShare)) {
      return;
    }
    this.options.scheduler.schedule(this.drawLatency(conditions), () => {
      if (receiver.isUp && !this.reachability.isCut(from, receiver)) {
        receiver.receiveDatagram(message);
      }
    });
  }

  private deliverOverLink(
    link: VirtualLink,
    from: NetworkEndpoint,
    receiver: NetworkEndpoint,
    message: LinkMessage,
  ): void {
    const { scheduler } = this.options;
    const conditions = findConditions(this.conditions, from.zone, receiver.zone);
    const earliest = scheduler.now + this.drawLatency(conditions);
    const arrival = reserveArrivalTime(link, receiver, earliest);
    scheduler.schedule(arrival - scheduler.now, () => {
      if (link.broken) {
        return;
      }
      if (!areBothEndsUp(link) || this.reachability.isCut(from, receiver)) {
        this.breakLink(link);
        return;
      }
      receiver.receiveLinkMessage(from.name, message);
    });
  }

  private findOrOpenLink(from: NetworkEndpoint, receiver: NetworkEndpoint): VirtualLink {
    const found = this.links.get(from.name)?.get(receiver.name);
    if (found !== undefined) {
      return found;
    }
    const link = openLink(from, receiver);
    this.linksOf(from.name).set(receiver.name, link);
    this.linksOf(receiver.name).set(from.name, link);
    return link;
  }

  private linksOf(name: string): Map<string, VirtualLink> {
    const links = this.links.get(name) ?? new Map<string, VirtualLink>();
    this.links.set(name, links);
    return links;
  }

  private breakLink(link: VirtualLink): void {
    if (link.broken) {
      return;
    }
    link.broken = true;
    const isSilent = areBothEndsUp(link) || this.reachability.isCut(link.first, link.second);
    const noticeMs = isSilent ? this.conditions.linkTimeoutMs : RESET_DETECTION_MS;
    this.options.scheduler.schedule(noticeMs, () => {
      this.links.get(link.first.name)?.delete(link.second.name);
      this.links.get(link.second.name)?.delete(link.first.name);
      this.reportLinkLoss(link.first, link.firstProcess, link.second);
      this.reportLinkLoss(link.second, link.secondProcess, link.first);
    });
  }

  private reportLinkLoss(endpoint: NetworkEndpoint, process: number, peer: NetworkEndpoint): void {
    if (endpoint.isUp && endpoint.processNumber === process) {
      endpoint.handleLinkLost(peer.name);
    }
  }

  private reportConnectFailure(from: NetworkEndpoint, peer: string): void {
    const process = from.processNumber;
    this.options.scheduler.schedule(RESET_DETECTION_MS, () => {
      if (from.isUp && from.processNumber === process) {
        from.handleLinkLost(peer as NetworkEndpoint['name']);
      }
    });
  }

  private drawLatency(conditions: LinkConditions): number {
    if (conditions.jitterMs === 0) {
      return conditions.latencyMs;
    }
    return conditions.latencyMs + this.options.random.next() * conditions.jitterMs;
  }

  private drawChance(share: number): boolean {
    return share > 0 && this.options.random.next() < share;
  }

  private count(from: NetworkEndpoint, message: PeerMessage): void {
    const { measure } = this;
    if (measure === undefined) {
      return;
    }
    const byType = this.traffic.get(from.name) ?? new Map<string, TrafficCount>();
    this.traffic.set(from.name, byType);
    const count = byType.get(message.type) ?? { messages: 0, bytes: 0 };
    byType.set(message.type, count);
    count.messages += 1;
    count.bytes += measure(message);
  }
}
