/**
 * What differs between the places where a gateway runs: names of headers, paths, and the formats of
 * the store's bodies. Nothing here decides anything.
 */
import type { Either } from 'purify-ts/Either';
import type { LoadReport } from '../model/request.js';
import type { ListCall, StoreCall, WatchCall } from '../store/collection.js';
import type { StoreChanges, StorePage } from '../store/store-objects.js';
import type { Finding } from '../../table/finding.js';

/** Names of headers, in lower case. */
export interface HeaderNames {
  /** Identifier of a request; replicas echo it. */
  readonly requestId: string;
  /** Time left, in whole milliseconds. */
  readonly timeBudget: string;
  /** Signature of a replica's answer. */
  readonly signature: string;
  /** The incarnation that a request is meant for. */
  readonly targetInstance: string;
  /** Load of the replica. */
  readonly load: string;
  /** Says that a replica did not run the request. */
  readonly notExecuted: string;
  /** Signatures of the parts of a merged answer, joined by commas. */
  readonly partSignatures: string;
  /** Number of shards that a merged answer leaves out. */
  readonly missingParts: string;
  /** Era of the store, in its answers. */
  readonly storeEra: string;
  /** Headers that say who asks. */
  readonly caller: readonly string[];
}

/** A request to the store. */
export interface StoreRequest {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  /** JSON; absent for none. */
  readonly body?: string;
}

/** Calls to the store and its answers. */
export interface StoreFormat {
  /** The request of a call. */
  formatCall(call: StoreCall): StoreRequest;
  readPage(call: ListCall, body: string): Either<readonly Finding[], StorePage>;
  readChanges(call: WatchCall, body: string): Either<readonly Finding[], StoreChanges>;
}

/** A protocol that a gateway speaks. */
export interface GatewayProtocol {
  readonly headers: HeaderNames;
  readonly readinessPath: string;
  /** Reads the value of the load header; undefined where it is malformed. */
  readLoad(value: string): LoadReport | undefined;
  readonly store: StoreFormat;
}
