/** Selects the replicas that a step of a scenario targets, on real sockets or in simulation. */
import type { ReplicaTarget } from './scenario.js';

/** The properties of a replica that a target matches. */
export interface ReplicaPlace {
  readonly partner: string;
  readonly service: string;
  readonly replica: string;
  readonly zone: string;
}

const isInGroup = (service: string, group: string): boolean =>
  service === group || service.replace(/-\d+$/, '') === group;

const matchesTarget = (place: ReplicaPlace, target: ReplicaTarget): boolean =>
  (target.partner === undefined || target.partner === place.partner) &&
  (target.group === undefined || isInGroup(place.service, target.group)) &&
  (target.service === undefined || target.service === place.service) &&
  (target.replica === undefined || target.replica === place.replica) &&
  (target.zone === undefined || target.zone === place.zone);

/** Returns the replicas that match `target`, in their original order. */
export const selectByTarget = <Replica>(
  replicas: Iterable<Replica>,
  placeOf: (replica: Replica) => ReplicaPlace,
  target: ReplicaTarget,
): Replica[] => {
  const counts = new Map<string, number>();
  return [...replicas].filter((replica) => {
    const place = placeOf(replica);
    const count = counts.get(place.service) ?? 0;
    if (!matchesTarget(place, target) || count >= (target.firstOfService ?? Infinity)) {
      return false;
    }
    counts.set(place.service, count + 1);
    return true;
  });
};
