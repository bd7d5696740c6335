/** Links of the virtual network: in order, without loss until they break. */
import type { NetworkEndpoint } from './network-endpoint.js';

/** An open link between two processes. */
export interface VirtualLink {
  readonly first: NetworkEndpoint;
  readonly second: NetworkEndpoint;
  readonly firstProcess: number;
  readonly secondProcess: number;
  /** Times before which the next message may not arrive, so that order is kept. */
  lastArrivalAtFirst: number;
  lastArrivalAtSecond: number;
  /** A broken link loses all that is sent until both ends have noticed. */
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

/** Takes the next arrival time towards `receiver`, at `earliest` or later, keeping order. */
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
