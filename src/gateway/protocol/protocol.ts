/**
 * The interface of a platform's protocol: names of headers, paths and the formats of the store's bodies. An implementation
 * only formats and parses; it makes no decisions.
 */
import type { Either } from 'purify-ts/Either';
import type { LoadReport } from '../model/request.js';
import type { ListCall, StoreCall, WatchCall } from '../store/collection.js';
import type { ShownConfiguration, StoreChanges, StorePage } from '../store/store-objects.js';
import type { Finding } from '../../table/finding.js';

/** Names of headers, in lower case. */
export interface HeaderNames {
  /** Identifier of a request, which replicas echo. */
  readonly requestId: string;
  /** Remaining time of a request, in whole milliseconds. */
  readonly timeBudget: string;
  /** Signature of a replica's answer. */
  readonly signature: string;
  /** Identifier of the replica incarnation that a request is addressed to. */
  readonly targetInstance: string;
  /** Load of the replica. */
  readonly load: string;
  /** States that the replica did not run the request. */
  readonly notExecuted: string;
  /** Signatures of the parts of a merged answer, joined by commas. */
  readonly partSignatures: string;
  /** Number of shards missing from a merged answer. */
  readonly missingParts: string;
  /** Era of the store, in its answers. */
  readonly storeEra: string;
  /** API key of the caller. */
  readonly apiKey: string;
  /** Name of the caller's tenant, for replicas. */
  readonly tenant: string;
  /** Headers that identify the caller. */
  readonly caller: readonly string[];
}

/** A request to the store. */
export interface StoreRequest {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  /** JSON; absent for none. */
  readonly body?: string;
}

/** Formats of the calls to the store and of its answers. Readers return all findings if a body is malformed. */
export interface StoreFormat {
  /** Returns the HTTP request of a call. */
  formatCall(call: StoreCall): StoreRequest;
  readPage(call: ListCall, body: string): Either<readonly Finding[], StorePage>;
  readChanges(call: WatchCall, body: string): Either<readonly Finding[], StoreChanges>;
  /** Reads the answer of a confirming read without decoding the whole configuration. */
  readConfirmation(body: string): Either<readonly Finding[], ShownConfiguration>;
}

/** The protocol between a gateway, its callers, the replicas and the store. */
export interface GatewayProtocol {
  readonly headers: HeaderNames;
  readonly readinessPath: string;
  /** Parses the value of the load header; undefined if it is malformed. */
  readLoad(value: string): LoadReport | undefined;
  readonly store: StoreFormat;
}
