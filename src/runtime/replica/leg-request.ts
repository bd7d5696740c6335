/** Bodies of requests to replicas. The fields that the legs of a query share are encoded once. */
import type { LegAttempt, LegContext } from '../../protocol/leg-messages.js';

const encodedContexts = new WeakMap<LegContext, string>();

/** The last context, which skips the map lookup: legs of a query mostly follow each other. */
let lastContext: LegContext | undefined;
let lastEncoded = '';

const encodeContext = (context: LegContext): string =>
  JSON.stringify({
    request: context.request,
    partner: context.partner,
    route: context.route,
    kind: context.kind,
    snapshot: context.snapshot,
    maxItems: context.maxItems,
    safeToRepeat: context.safeToRepeat,
    idempotencyKey: context.idempotencyKey,
    payload: context.payload,
  }).slice(1);

const encodeCached = (context: LegContext): string => {
  const known = encodedContexts.get(context);
  if (known !== undefined) {
    return known;
  }
  const encoded = encodeContext(context);
  encodedContexts.set(context, encoded);
  return encoded;
};

const encodedContext = (context: LegContext): string => {
  if (context !== lastContext) {
    lastEncoded = encodeCached(context);
    lastContext = context;
  }
  return lastEncoded;
};

/** Formats the body of `POST /v1/leg`. */
export const formatLegRequest = (context: LegContext, leg: LegAttempt): string => {
  const shared = encodedContext(context);
  const attempt = JSON.stringify(leg.attempt);
  const shard = JSON.stringify(leg.shard);
  return `{"attempt":${attempt},"shard":${shard},${shared}`;
};
