/** Links of the virtual network: ordered, and without loss until the link breaks. */
import type { NetworkEndpoint } from './network-endpoint.js';

/** A link between two processes. */
export interface VirtualLink {
  readonly first: NetworkEndpoint;
  readonly second: NetworkEndpoint;
  readonly firstProcess: number;
  readonly secondProcess: number;
  /** Arrival times of the last messages at each end; later messages do not arrive before them. */
  lastArrivalAtFirst: number;
  lastArrivalAtSecond: number;
  /** Whether the link is broken; messages are lost until both ends have detected the break. */
  broken: boolean;
}

/** Opens a link between two processes. */
export const openLink = (first: NetworkEndpoint, second: NetworkEndpoint): VirtualLink => ({
  first,
  second,
  firstProcess: first.processNumber,
  secondProcess: second.processNumber,
  lastArrivalAtFirst: 0,
  lastArrivalAtSecond: 0,
  broken: false,
});

/** Whether both processes that opened the link still exist. */
export const areBothEndsUp = (link: VirtualLink): boolean =>
  link.first.isUp &&
  link.second.isUp &&
  link.first.processNumber === link.firstProcess &&
  link.second.processNumber === link.secondProcess;

/** Reserves the next arrival time at `receiver`, not before `earliest` or an earlier message. */
export const reserveArrivalTime = (
  link: VirtualLink,
  receiver: NetworkEndpoint,
  earliest: number,
): number => {
  if (receiver === link.first) {
    link.lastArrivalAtFirst = Math.max(link.lastArrivalAtFirst, earliest);
    return link.lastArrivalAtFirst;
  }
  link.lastArrivalAtSecond = Math.max(link.lastArrivalAtSecond, earliest);
  return link.lastArrivalAtSecond;
};
