/** State of the configuration slice: the store objects in force at this node. */
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

/** Tables derived from the objects in force; replaced by a new value when an object changes. */
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

/** A survey in progress: the revision that is awaited, and when the survey ends. */
export interface RevisionSurvey {
  readonly revision: number;
  readonly until: number;
}

/** State of this node's watch of the store. */
export interface StoreWatchState {
  /** True while this node watches the store or retries to. */
  watching: boolean;
  /** Number of consecutive failures. */
  failures: number;
  /** Whether a hint that the store answers has arrived since the last failure. */
  hinted: boolean;
  /** When the retry caused by the last hint is due; 0 before any hint. */
  hintedRetryAt: number;
  /** Time until which this node sends no deferrable requests to the store after it recovered. */
  quietUntil: number;
  /** Whether the store has answered this process at least once. */
  seen: boolean;
  /** Number of consecutive answers of the store that ended below the revision in force. */
  outdatedAnswers: number;
  /** Whether this node reads the machine list periodically. */
  readsMachines: boolean;
}

/** An object to be written back to an older store. */
export interface RestoreItem {
  readonly name: ObjectName;
  /** The content in force that the store lost; absent for an object to be rewritten unchanged. */
  readonly content?: StoreContent;
  /** Version that the object must exceed to count as restored. */
  readonly aboveVersion: number;
}

/** A store that is older than the configuration in force, and the progress of its restore. */
export interface OlderStore {
  /** The store's revision when this was detected. */
  readonly through: number;
  /** The revision in force at that time; objects up to it are not applied. */
  readonly inForce: number;
  readonly queue: RestoreItem[];
  /** The read or write in progress. */
  request: StoreRequestId | undefined;
  writes: number;
}

/** The objects held by this node and the tables derived from them. */
export interface ConfigurationState {
  readonly objects: Map<ObjectName, StoreObject>;
  /** Revision up to which this node holds all changes of the store. */
  revision: number;
  inForce: ConfigurationInForce;
  readonly watch: StoreWatchState;
  /** Whether the digest of a serving peer has been received. */
  servingPeerSeen: boolean;
  /** The pull in progress: the peer it was sent to, and when. */
  pull: { readonly peer: NodeId; readonly sentAt: number } | undefined;
  /** The peer to pull from unless a push arrives first. */
  pullCandidate: NodeId | undefined;
  /** Members of this zone by rank, for the view with this version. */
  zoneRanks: { readonly version: number; readonly nodes: readonly NodeIdentity[] };
  survey: RevisionSurvey | undefined;
  olderStore: OlderStore | undefined;
  nextRequest: number;
}

/** Builds the key of a row, unique over all partners. */
export const routeRowKey = (partner: string, route: string, kind: string): string =>
  `${partner}/${route}/${kind}`;

/** Returns the partner of a key from `routeRowKey`, even if the row is not in force here. */
export const partnerOfRow = (row: string): PartnerId =>
  identifier<PartnerId>(row.slice(0, row.indexOf('/')));

/** Creates the state of a node that holds no objects. */
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
