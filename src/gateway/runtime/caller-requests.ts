/** Requests of callers that have no answer yet, with their bytes. */
import type { CallId, Fingerprint, Header } from '../model/request.js';
import type { HeaderNames } from '../protocol/protocol.js';
import { fingerprintOf } from './fingerprint.js';
import { endToEndHeaders, flattenHeaders } from './headers.js';

/** A request as it came from its caller. */
export interface ReceivedRequest {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  readonly requestId: string;
  readonly headers: readonly Header[];
  readonly body: Buffer | null;
}

/** A request that is held until its answer. */
export interface HeldRequest {
  readonly fingerprint: Fingerprint;
  readonly method: string;
  readonly path: string;
  readonly requestId: string;
  /** What is passed on to replicas: a flat list of names and values. */
  readonly passedHeaders: readonly string[];
  readonly body: Buffer | null;
}

/** A request that was taken. */
export interface NamedRequest {
  readonly call: CallId;
  readonly fingerprint: Fingerprint;
}

/** The requests in progress. */
export class CallerRequests {
  private readonly held = new Map<CallId, HeldRequest>();
  private nextCall: CallId = 1;
  /** Headers that the gateway, or its HTTP client, sets itself. */
  private readonly ownHeaders: ReadonlySet<string>;
  private readonly callerHeaders: readonly string[];

  constructor({ timeBudget, targetInstance, caller }: HeaderNames) {
    this.ownHeaders = new Set([timeBudget, targetInstance, 'content-length', 'expect']);
    this.callerHeaders = caller;
  }

  /** Takes a request of a caller and names it. */
  add({ method, path, requestId, headers, body }: ReceivedRequest): NamedRequest {
    const passedHeaders = flattenHeaders(endToEndHeaders(headers, this.ownHeaders));
    return this.hold({ method, path, requestId, passedHeaders, body });
  }

  /** Takes a request as replicas get it and names it. */
  hold(request: Omit<HeldRequest, 'fingerprint'>): NamedRequest {
    const call = this.nextCall;
    this.nextCall += 1;
    const fingerprint = fingerprintOf(request, this.callerHeaders);
    this.held.set(call, { ...request, fingerprint });
    return { call, fingerprint };
  }

  find(call: CallId): HeldRequest | undefined {
    return this.held.get(call);
  }

  remove(call: CallId): void {
    this.held.delete(call);
  }
}
