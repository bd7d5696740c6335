/** Converts the core's state to the status and revision bodies of the operators' HTTP. */
import type { ReplicaStatus, ServiceStatus } from '../catalog/partner-index.js';
import { limitAmount, measureDemand, usableAmount } from '../core/admission/limit-use.js';
import type { LimitUse } from '../core/admission/state.js';
import { isReplicaLeaving } from '../core/membership/replica-rumours.js';
import type { Member } from '../core/membership/member.js';
import { endpointOf, replicaKey } from '../core/query/observations.js';
import type { ReplicaObservation } from '../core/query/replica-observation.js';
import type { PartnerId } from '../core/identifiers.js';
import type { CoreState } from '../core/state.js';
import type { NodeRevision, RevisionsBody, StatusBody } from '../operator-protocol/status-body.js';

type ReplicaBody = StatusBody['replicas'][number];
type LimitBody = StatusBody['limits'][number];

const readNode = (state: CoreState, member: Member): NodeRevision => {
  const { identity } = member;
  const isSelf = identity.node === state.self.node;
  const revision = isSelf ? state.configuration.revision : member.revision;
  return {
    node: identity.node,
    zone: identity.zone,
    region: identity.region,
    state: member.state,
    incarnation: identity.incarnation,
    revision: revision === 0 && !isSelf ? null : revision,
  };
};

/** Compares code units: with thousands of members, `localeCompare` would block the event loop. */
const compareText = (left: string, right: string): number => {
  if (left === right) {
    return 0;
  }
  return left < right ? -1 : 1;
};

const compareNodes = (left: NodeRevision, right: NodeRevision): number =>
  compareText(left.zone, right.zone) || compareText(left.node, right.node);

/** Reads the members with the last known revision of each, sorted by zone and name. */
const readNodes = (state: CoreState): NodeRevision[] =>
  [...state.membership.members.values()]
    .map((member) => readNode(state, member))
    .sort(compareNodes);

const countAttempts = (state: CoreState, replica: ReplicaStatus): number => {
  const feed = state.replica.feeds.get(endpointOf(replica));
  return feed === undefined ? 0 : feed.inFlight + feed.queue.size;
};

const findObservation = (
  state: CoreState,
  partner: PartnerId,
  replica: ReplicaStatus,
): ReplicaObservation | undefined =>
  state.query.observations.replicas.get(replicaKey(partner, endpointOf(replica)));

const classifyReplica = (
  state: CoreState,
  replica: ReplicaStatus,
  observed: ReplicaObservation | undefined,
  at: number,
): ReplicaBody['seen'] => {
  if (isReplicaLeaving(state, replica.replica, at)) {
    return 'leaving';
  }
  if (observed?.ejected === true) {
    return 'ejected';
  }
  return observed !== undefined && observed.backOffUntil > at ? 'shedding' : 'used';
};

const readReplica = (
  state: CoreState,
  service: ServiceStatus,
  replica: ReplicaStatus,
  at: number,
): ReplicaBody => {
  const observed = findObservation(state, service.partner, replica);
  return {
    partner: service.partner,
    service: service.service,
    replica: replica.replica,
    zone: replica.zone,
    lifecycle: replica.lifecycle,
    slots: replica.slots,
    connections: replica.connections,
    snapshots: [...replica.snapshots],
    inProgress: countAttempts(state, replica),
    seen: classifyReplica(state, replica, observed, at),
    meanMs: observed?.unqueuedMs ?? null,
  };
};

const readReplicas = (state: CoreState, at: number): ReplicaBody[] =>
  [...state.configuration.inForce.services.values()].flatMap((services) =>
    [...services.values()].flatMap((service) =>
      service.replicas.map((replica) => readReplica(state, service, replica, at)),
    ),
  );

const inUse = (use: LimitUse, at: number): number =>
  use.limit.bound === 'concurrent' ? use.used : measureDemand(use, at);

const readLimit = (state: CoreState, use: LimitUse, at: number): LimitBody[] => {
  const row = state.configuration.inForce.rows.get(use.limit.row);
  const total = limitAmount(row, use.limit.bound);
  return row === undefined || total === undefined
    ? []
    : [
        {
          partner: row.partner,
          route: row.route,
          kind: row.kind,
          limit: use.limit.bound,
          total,
          granted: usableAmount(use, at),
          inUse: inUse(use, at),
        },
      ];
};

const readLimits = (state: CoreState, at: number): LimitBody[] =>
  [...state.admission.uses.values()].flatMap((use) => readLimit(state, use, at));

/** Reads the revision in force on each member. */
export const readRevisions = (state: CoreState): RevisionsBody => ({
  node: state.self.node,
  revision: state.configuration.revision,
  nodes: readNodes(state),
});

/**
 * Reads the state of the tier as this node sees it.
 *
 * @param at - current time on the clock of the core's events, in milliseconds
 */
export const readStatus = (state: CoreState, at: number): StatusBody => ({
  node: state.self.node,
  zone: state.self.zone,
  phase: state.phase,
  revision: state.configuration.revision,
  objects: [...state.configuration.objects.values()]
    .map(({ name, version, revision }) => ({ name, version, revision }))
    .sort((left, right) => compareText(left.name, right.name)),
  nodes: readNodes(state),
  replicas: readReplicas(state, at),
  limits: readLimits(state, at),
  counters: { ...state.counters },
});
