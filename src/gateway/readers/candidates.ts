/**
 * Candidates for reading the store on behalf of other gateways: a few of each zone, in an order that all gateways
 * compute identically from the list of gateways. No reader is elected: a gateway reads once another one follows it.
 */
import type { PeerRecord } from '../model/peer-record.js';
import { rankByRendezvous } from '../peers/rendezvous.js';
import type { GatewayState } from '../state.js';
import type { ReaderOrder } from './reading-state.js';

/** Candidates of the own zone, which come before those of other zones. */
const ZONE_CANDIDATES = 3;

/** Candidates of other zones, each the first one of its zone. */
const OTHER_ZONE_CANDIDATES = 2;

const byZone = (peers: Iterable<PeerRecord>): ReadonlyMap<string, readonly PeerRecord[]> => {
  const zones = new Map<string, PeerRecord[]>();
  for (const peer of peers) {
    const peersOfZone = zones.get(peer.zone) ?? [];
    peersOfZone.push(peer);
    zones.set(peer.zone, peersOfZone);
  }
  return zones;
};

const computeReaderOrder = ({ peers, settings }: GatewayState): ReaderOrder => {
  const { zone, zoneRegions } = settings;
  const zones = byZone(peers.all());
  const rankZone = (name: string): readonly PeerRecord[] =>
    rankByRendezvous(`reader/${name}`, zones.get(name) ?? []);
  const isOtherRegion = (name: string): number => Number(zoneRegions[name] !== zoneRegions[zone]);
  const others = [...zones.keys()].filter((name) => name !== zone).sort();
  others.sort((left, right) => isOtherRegion(left) - isOtherRegion(right));
  return {
    generation: peers.generation,
    ownZone: rankZone(zone),
    otherZones: others.map(rankZone),
  };
};

const readerOrderOf = (state: GatewayState): ReaderOrder => {
  if (state.reading.order?.generation !== state.peers.generation) {
    state.reading.order = computeReaderOrder(state);
  }
  return state.reading.order;
};

/** Reader candidates, the preferred one first. This gateway is among them where it may read for others. */
export const readerCandidates = (state: GatewayState, at: number): readonly PeerRecord[] => {
  const { ownZone, otherZones } = readerOrderOf(state);
  const own = state.settings.node;
  const isTrusted = ({ name }: PeerRecord): boolean =>
    name === own || !state.peers.isSuspect(name, at);
  const others = otherZones.flatMap((zone) => zone.filter(isTrusted).slice(0, 1));
  return [
    ...ownZone.filter(isTrusted).slice(0, ZONE_CANDIDATES),
    ...others.slice(0, OTHER_ZONE_CANDIDATES),
  ];
};

/** Gateways of each zone that are asked to confirm API keys: its reader, and the one that replaces it. */
const CONFIRMING_PER_ZONE = 2;

/** The gateway that makes the confirming reads for the readers of all zones; undefined before gateways are listed. */
export const confirmingReader = (state: GatewayState, at: number): PeerRecord | undefined => {
  const { ownZone, otherZones } = readerOrderOf(state);
  const own = state.settings.node;
  const isTrusted = ({ name }: PeerRecord): boolean =>
    name === own || !state.peers.isSuspect(name, at);
  const readers = [ownZone, ...otherZones].flatMap((zone) => zone.filter(isTrusted).slice(0, 1));
  return rankByRendezvous('key-confirmation', readers)[0];
};

/** The readers of all zones, and the gateways that replace them, apart from this one. */
export const readersOfAllZones = (state: GatewayState, at: number): readonly PeerRecord[] => {
  const { ownZone, otherZones } = readerOrderOf(state);
  return [ownZone, ...otherZones].flatMap((zone) =>
    zone
      .filter(({ name }) => name !== state.settings.node && !state.peers.isSuspect(name, at))
      .slice(0, CONFIRMING_PER_ZONE),
  );
};

/** The seed gateways of the settings, which serve as candidates while no list of gateways is available. */
export const seedCandidates = (state: GatewayState, at: number): readonly PeerRecord[] => {
  const { seeds, peers, zone } = state.settings;
  return seeds
    .filter(({ host }) => host !== peers.host)
    .map(({ host }) => ({
      name: `seed ${host}`,
      zone,
      address: { host, port: peers.port },
      capacity: 1,
    }))
    .filter(({ name }) => !state.peers.isSuspect(name, at));
};
