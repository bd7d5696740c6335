/**
 * Chooses the keepers of a subject from a roster. The choice depends only on the roster and the
 * subject, so that it is the same at every node. The keepers are in the home zones of the subject's
 * partner if a majority of them survives the loss of any one zone, else they are spread over all
 * zones.
 */
import type { Keeper, KeeperRoster } from '../../catalog/keeper-roster.js';
import { hash32 } from '../hash.js';
import type { NodeId, PartnerId, ZoneName } from '../identifiers.js';
import { KEEPERS_PER_SUBJECT } from './keeper-timing.js';

/** The keepers of one subject and the size of a majority. */
export interface KeeperSet {
  readonly nodes: readonly NodeId[];
  /** Any two sets of this many keepers have one in common. */
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
  /** Rings of the partners whose home zones have enough keepers. */
  readonly homes: ReadonlyMap<PartnerId, Ring>;
}

const majorityOf = (count: number): number => Math.floor(count / 2) + 1;

/** Maximum number of keepers of a full set in one zone, so that the others are a majority. */
const MAX_PER_ZONE = KEEPERS_PER_SUBJECT - majorityOf(KEEPERS_PER_SUBJECT);

/** Cache of the rings of each roster; rosters are immutable. */
const rings = new WeakMap<KeeperRoster, RosterRings>();

const buildRing = (keepers: readonly Keeper[]): Ring =>
  keepers
    .map((keeper): PlacedKeeper => ({ keeper, place: hash32(keeper.node) }))
    .sort((a, b) => a.place - b.place || (a.keeper.node < b.keeper.node ? -1 : 1))
    .map(({ keeper }) => keeper);

/** Whether the ring yields a full set of which a majority survives the loss of any one zone. */
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

/** Selects up to `count` keepers in ring order from `start`, at most `perZone` of each zone. */
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

/**
 * Chooses the keepers of a subject of `partner` from `roster`, spread over zones as evenly as
 * possible.
 */
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
