/** Holds unanswered requests of callers and other gateways, with their bytes. */
import type { CallId, Fingerprint, Header } from '../model/request.js';
import type { HeaderNames } from '../protocol/protocol.js';
import { fingerprintOf } from './fingerprint.js';
import { endToEndHeaders, flattenHeaders, withoutHeaders } from './headers.js';

/** A request as received from its caller. */
export interface ReceivedRequest {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  readonly requestId: string;
  readonly headers: readonly Header[];
  readonly body: Buffer | null;
}

/** A request that is kept until it is answered. */
export interface PendingRequest {
  readonly fingerprint: Fingerprint;
  readonly method: string;
  readonly path: string;
  readonly requestId: string;
  /** Headers for replicas: a flat list of names and values. */
  readonly passedHeaders: readonly string[];
  readonly body: Buffer | null;
}

/** Identifiers of an added request. */
export interface AddedRequest {
  readonly call: CallId;
  readonly fingerprint: Fingerprint;
}

/** Returns a text as a header value: its bytes in UTF-8, one character for each byte. */
const headerValueOf = (text: string): string => Buffer.from(text, 'utf8').toString('latin1');

/** The requests in progress. */
export class CallerRequests {
  private readonly requests = new Map<CallId, PendingRequest>();
  private nextCall: CallId = 1;
  /** Headers that the gateway or its HTTP client sets itself. */
  private readonly ownHeaders: ReadonlySet<string>;
  private readonly callerHeaders: readonly string[];
  private readonly tenantHeader: string;
  /** Headers that are not passed on once the caller is known. */
  private readonly replacedHeaders: ReadonlySet<string>;

  constructor({ timeBudget, targetInstance, caller, apiKey, tenant }: HeaderNames) {
    this.ownHeaders = new Set([timeBudget, targetInstance, 'content-length', 'expect']);
    this.callerHeaders = caller;
    this.tenantHeader = tenant;
    this.replacedHeaders = new Set([apiKey, tenant]);
  }

  /** Adds a request of a caller and assigns its identifiers. */
  add({ method, path, requestId, headers, body }: ReceivedRequest): AddedRequest {
    const passedHeaders = flattenHeaders(endToEndHeaders(headers, this.ownHeaders));
    return this.addPending({ method, path, requestId, passedHeaders, body });
  }

  /**
   * Adds a request whose headers are already filtered for replicas, and assigns its identifiers.
   *
   * @param knownFingerprint - computed where the request was received, before the caller's headers were replaced
   */
  addPending(
    request: Omit<PendingRequest, 'fingerprint'>,
    knownFingerprint?: Fingerprint,
  ): AddedRequest {
    const call = this.nextCall;
    this.nextCall += 1;
    const fingerprint = knownFingerprint ?? fingerprintOf(request, this.callerHeaders);
    this.requests.set(call, { ...request, fingerprint });
    return { call, fingerprint };
  }

  /** Replaces the headers that identify the caller by the name of its tenant; none for an anonymous request. */
  setCaller(call: CallId, tenant: string | undefined): void {
    const request = this.requests.get(call);
    if (request === undefined) {
      return;
    }
    const kept = withoutHeaders(request.passedHeaders, this.replacedHeaders);
    const named = tenant === undefined ? [] : [this.tenantHeader, headerValueOf(tenant)];
    this.requests.set(call, { ...request, passedHeaders: [...kept, ...named] });
  }

  find(call: CallId): PendingRequest | undefined {
    return this.requests.get(call);
  }

  remove(call: CallId): void {
    this.requests.delete(call);
  }
}
