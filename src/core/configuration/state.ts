/** State of the configuration: the store objects in force at this node. */
import type { KeeperRoster } from '../../catalog/keeper-roster.js';
import type { PartnerLayout, ServiceStatus } from '../../catalog/partner-index.js';
import type { StoreContent, StoreObject } from '../../catalog/store-object.js';
import type { NodeIdentity } from '../../protocol/node-address.js';
import type { Agreement } from '../../table/agreement.js';
import type { PartnerKeys } from '../../table/partner-keys.js';
import type { RouteRow } from '../../table/route-row.js';
import {
  identifier,
  type NodeId,
  type ObjectName,
  type PartnerId,
  type ServiceName,
  type StoreRequestId,
} from '../identifiers.js';

/** Tables derived from the objects in force; replaced as a whole when an object changes. */
export interface ConfigurationInForce {
  /** By `partner/route/kind`, see `routeRowKey`. */
  readonly rows: ReadonlyMap<string, RouteRow>;
  readonly layouts: ReadonlyMap<PartnerId, PartnerLayout>;
  /** By partner, then service. */
  readonly services: ReadonlyMap<PartnerId, ReadonlyMap<ServiceName, ServiceStatus>>;
  readonly keys: ReadonlyMap<PartnerId, PartnerKeys>;
  readonly agreement: Agreement | undefined;
  /** By period. */
  readonly rosters: ReadonlyMap<number, KeeperRoster>;
}

/** Why and until when a node asks others for their revision. */
export interface RevisionSurvey {
  readonly revision: number;
  readonly until: number;
}

/** The node's part in reading the store. */
export interface StoreWatchState {
  /** This node watches, or tries to. */
  watching: boolean;
  /** Failures in a row. */
  failures: number;
  /** Since the last failure a peer has said that the store answers. */
  hinted: boolean;
  /** When the try is due that the last hint has brought about; 0 before any. */
  hintedRetryAt: number;
  /** After the store's return: until when this node asks nothing else of it. */
  quietUntil: number;
  /** The store has answered this process. */
  seen: boolean;
  /** Answers in a row that ended before what is in force. */
  outdatedAnswers: number;
  /** This node reads the machine list. */
  readsMachines: boolean;
}

/** An object that a store which lost writes must get back. */
export interface RestoreItem {
  readonly name: ObjectName;
  /** What is in force and was lost; absent for an object that is written again as it stands. */
  readonly content?: StoreContent;
  /** The write must produce a greater version than this. */
  readonly aboveVersion: number;
}

/** A store that shows less than is in force, and the work to bring it up to date. */
export interface OlderStore {
  /** The store's revision when it was noticed. */
  readonly through: number;
  /** What was in force then; writes below it are not followed. */
  readonly inForce: number;
  readonly queue: RestoreItem[];
  /** The read or write under way. */
  request: StoreRequestId | undefined;
  writes: number;
}

/** The objects held and what follows from them. */
export interface ConfigurationState {
  readonly objects: Map<ObjectName, StoreObject>;
  /** All changes of the store up to this revision are held. */
  revision: number;
  inForce: ConfigurationInForce;
  readonly watch: StoreWatchState;
  /** A peer that serves has been heard of. */
  servingPeerSeen: boolean;
  /** The peer asked for changes, and when. */
  pull: { readonly peer: NodeId; readonly sentAt: number } | undefined;
  /** The peer to be asked when no push comes first. */
  pullCandidate: NodeId | undefined;
  /** Members of this zone by rank, for the view `version`. */
  zoneRanks: { readonly version: number; readonly nodes: readonly NodeIdentity[] };
  survey: RevisionSurvey | undefined;
  olderStore: OlderStore | undefined;
  nextRequest: number;
}

/** Names a row over all partners. */
export const routeRowKey = (partner: string, route: string, kind: string): string =>
  `${partner}/${route}/${kind}`;

/** The partner of a row named by `routeRowKey`, also when the row is not in force here. */
export const partnerOfRow = (row: string): PartnerId =>
  identifier<PartnerId>(row.slice(0, row.indexOf('/')));

/** Creates the state of a node that holds no object yet. */
export const createConfigurationState = (): ConfigurationState => ({
  objects: new Map(),
  revision: 0,
  inForce: {
    rows: new Map(),
    layouts: new Map(),
    services: new Map(),
    keys: new Map(),
    agreement: undefined,
    rosters: new Map(),
  },
  watch: {
    watching: false,
    failures: 0,
    hinted: false,
    hintedRetryAt: 0,
    quietUntil: 0,
    seen: false,
    outdatedAnswers: 0,
    readsMachines: false,
  },
  servingPeerSeen: false,
  pull: undefined,
  pullCandidate: undefined,
  zoneRanks: { version: 0, nodes: [] },
  survey: undefined,
  olderStore: undefined,
  nextRequest: 0,
});
