/** A process as the virtual network sees it. */
import type { NodeId } from '../core/identifiers.js';
import type { MembershipMessage } from '../protocol/membership-messages.js';
import type { PeerAddress } from '../protocol/node-address.js';
import type { LinkMessage } from '../protocol/peer-message.js';

/** What a process has sent, for the measurement of control traffic. */
export interface TrafficCount {
  messages: number;
  bytes: number;
}

/** A process that sends and receives over the virtual network. */
export interface NetworkEndpoint {
  readonly name: NodeId;
  readonly zone: string;
  readonly address: PeerAddress;
  /** Grows with each restart, so that what was meant for an earlier process is not delivered. */
  readonly processNumber: number;
  /** False while the process does not exist; a paused one is up. */
  readonly isUp: boolean;
  receiveDatagram(message: MembershipMessage): void;
  receiveLinkMessage(from: NodeId, message: LinkMessage): void;
  handleLinkLost(peer: NodeId): void;
}

/** Names an address. */
export const addressKey = (address: PeerAddress): string => `${address.host}:${address.port}`;
