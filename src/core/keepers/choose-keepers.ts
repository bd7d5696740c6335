/**
 * Chooses the keepers of a subject out of a roster: the same ones at every node, since nothing but the
 * roster and the subject decides. They stand in the home zones of the subject's partner where those
 * can lose any one zone, else in all zones.
 */
import type { Keeper, KeeperRoster } from '../../catalog/keeper-roster.js';
import { hash32 } from '../hash.js';
import type { NodeId, PartnerId, ZoneName } from '../identifiers.js';
import { KEEPERS_PER_SUBJECT } from './keeper-timing.js';

/** The keepers of one subject and how many of them decide. */
export interface KeeperSet {
  readonly nodes: readonly NodeId[];
  /** Any two sets of this many keepers share one. */
  readonly majority: number;
}

interface PlacedKeeper {
  readonly keeper: Keeper;
  readonly place: number;
}

/** Keepers in the order of their hashes. */
type Ring = readonly Keeper[];

interface RosterRings {
  readonly whole: Ring;
  /** Of the partners whose home zones hold enough keepers. */
  readonly homes: ReadonlyMap<PartnerId, Ring>;
}

const majorityOf = (count: number): number => Math.floor(count / 2) + 1;

/** Most keepers of a full set in one zone, so that the others are a majority. */
const MAX_PER_ZONE = KEEPERS_PER_SUBJECT - majorityOf(KEEPERS_PER_SUBJECT);

/** The rings of each roster; a roster never changes. */
const rings = new WeakMap<KeeperRoster, RosterRings>();

const buildRing = (keepers: readonly Keeper[]): Ring =>
  keepers
    .map((keeper): PlacedKeeper => ({ keeper, place: hash32(keeper.node) }))
    .sort((a, b) => a.place - b.place || (a.keeper.node < b.keeper.node ? -1 : 1))
    .map(({ keeper }) => keeper);

/** True when a full set of the ring's keepers outlives the loss of any one zone. */
const survivesZoneLoss = (ring: Ring): boolean =>
  selectSpread(ring, 0, KEEPERS_PER_SUBJECT, MAX_PER_ZONE).length === KEEPERS_PER_SUBJECT;

const buildRings = ({ keepers, homes = [] }: KeeperRoster): RosterRings => {
  const whole = buildRing(keepers);
  const homeRings = homes
    .map(({ partner, zones }): [PartnerId, Ring] => [
      partner,
      whole.filter(({ zone }) => zones.includes(zone)),
    ])
    .filter(([, ring]) => survivesZoneLoss(ring));
  return { whole, homes: new Map(homeRings) };
};

const ringOf = (roster: KeeperRoster, partner: PartnerId): Ring => {
  const built = rings.get(roster) ?? buildRings(roster);
  rings.set(roster, built);
  return built.homes.get(partner) ?? built.whole;
};

/** Walks the ring from `start` and takes `count` keepers, at most `perZone` of each zone. */
const selectSpread = (ring: Ring, start: number, count: number, perZone: number): NodeId[] => {
  const selected: NodeId[] = [];
  const inZone = new Map<ZoneName, number>();
  for (let step = 0; step < ring.length && selected.length < count; step += 1) {
    const keeper = ring[(start + step) % ring.length] as Keeper;
    const countInZone = inZone.get(keeper.zone) ?? 0;
    if (countInZone < perZone) {
      inZone.set(keeper.zone, countInZone + 1);
      selected.push(keeper.node);
    }
  }
  return selected;
};

/** The keepers of a subject of `partner` out of `roster`, spread over zones as evenly as they allow. */
export const chooseKeepers = (
  roster: KeeperRoster,
  partner: PartnerId,
  subject: string,
): KeeperSet => {
  const ring = ringOf(roster, partner);
  const count = Math.min(KEEPERS_PER_SUBJECT, ring.length);
  const start = ring.length === 0 ? 0 : hash32(subject) % ring.length;
  let perZone = 1;
  let nodes = selectSpread(ring, start, count, perZone);
  while (nodes.length < count) {
    perZone += 1;
    nodes = selectSpread(ring, start, count, perZone);
  }
  return { nodes, majority: majorityOf(count) };
};
