/** Requests of callers that have no answer yet, with their bytes. */
import type { CallId, Header } from '../model/request.js';

/** A request as it came from its caller. */
export interface HeldRequest {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  readonly requestId: string;
  readonly headers: readonly Header[];
  readonly body: Buffer | null;
}

/** The requests in progress. */
export class CallerRequests {
  private readonly held = new Map<CallId, HeldRequest>();

  add(call: CallId, request: HeldRequest): void {
    this.held.set(call, request);
  }

  find(call: CallId): HeldRequest | undefined {
    return this.held.get(call);
  }

  remove(call: CallId): void {
    this.held.delete(call);
  }
}
