/** Interface between a process and the virtual network. */
import type { NodeId } from '../core/identifiers.js';
import type { MembershipMessage } from '../protocol/membership-messages.js';
import type { PeerAddress } from '../protocol/node-address.js';
import type { LinkMessage } from '../protocol/peer-message.js';

/** Messages and bytes that a process has sent, to measure control traffic. */
export interface TrafficCount {
  messages: number;
  bytes: number;
}

/** A process that sends and receives over the virtual network. */
export interface NetworkEndpoint {
  readonly name: NodeId;
  readonly zone: string;
  readonly address: PeerAddress;
  /** Increases with each restart, so that messages to an earlier process are not delivered. */
  readonly processNumber: number;
  /** Whether the process exists; true for a paused process. */
  readonly isUp: boolean;
  receiveDatagram(message: MembershipMessage): void;
  receiveLinkMessage(from: NodeId, message: LinkMessage): void;
  handleLinkLost(peer: NodeId): void;
}

/** Key of an address, as `host:port`. */
export const addressKey = (address: PeerAddress): string => `${address.host}:${address.port}`;
