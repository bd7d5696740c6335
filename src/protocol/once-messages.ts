/** Messages that prevent requests which are not safe to repeat from running twice, sent over TCP. */
import type { PartnerId, RequestId } from '../core/identifiers.js';

/** Coordinator to keeper: claims the idempotency key for a request. */
export interface ClaimRequest {
  readonly type: 'claim-request';
  readonly partner: PartnerId;
  readonly idempotencyKey: string;
  readonly request: RequestId;
}

/** Keeper to coordinator: the first request for a key is granted, every other one is refused. */
export interface ClaimReply {
  readonly type: 'claim-reply';
  readonly request: RequestId;
  readonly verdict: 'granted' | 'already-claimed' | 'owner-not-ready';
}

/** Coordinator to keeper: releases the key of a request that did not run and never will. */
export interface ClaimRelease {
  readonly type: 'claim-release';
  readonly partner: PartnerId;
  readonly idempotencyKey: string;
  readonly request: RequestId;
}

/** Any message about claims. */
export type OnceMessage = ClaimRequest | ClaimReply | ClaimRelease;
