/** Explains refusals by what the final log line of the request names as their reason. */
import type { Decision, LimitRefusal, StopInputs } from '../log/log-event.js';

type AnswerLine = Extract<Decision, { readonly event: 'request-answered' }>;

const describeNoRoute = ({
  host,
  path,
  version,
  versionAgeMs,
}: NonNullable<AnswerLine['noRoute']>): string =>
  `refused: no route of version ${version}, in force for ${versionAgeMs} ms, matches ${host}${path}`;

const describeRefusedKey = ({
  route,
  keys,
  version,
  versionAgeMs,
}: NonNullable<AnswerLine['refusedKey']>): string => {
  const inForce = `version ${version}, in force for ${versionAgeMs} ms`;
  switch (keys) {
    case 0:
      return `refused: the request has no API key, and ${inForce}, requires one on route ${route}`;
    case 1:
      return `refused: no tenant of ${inForce}, holds the API key of the request on route ${route}`;
    default:
      return `refused: the request on route ${route} has several different API keys; ${inForce}`;
  }
};

const describeBlock = ({
  fingerprint,
  rounds,
  level,
  forMs,
}: NonNullable<AnswerLine['blocked']>): string =>
  `refused: this request (fingerprint ${fingerprint}) crashed replicas in ${rounds} consecutive rounds and none answered it; it is blocked for ${forMs} ms more (block ${level}), then sent to one replica as a trial`;

const describeUnconfirmed = ({
  ageMs,
  source,
  limitMs,
  version,
}: NonNullable<AnswerLine['unconfirmed']>): string => {
  const last =
    ageMs === undefined
      ? 'had not confirmed them since it started'
      : `last confirmed them ${ageMs} ms before (source: ${source ?? 'unknown'}), and ${Math.round(limitMs)} ms are allowed`;
  return `refused: API keys may have been removed from version ${version} without this gateway knowing it; it ${last}: see keys-unconfirmed`;
};

const describeLimit = (
  reason: AnswerLine['reason'],
  { tenant, ratePerSecond, burst, decidedBy, decidedMsAgo, tokenInMs }: LimitRefusal,
): string => {
  const quota = `${tenant} (${ratePerSecond} per second, burst ${burst})`;
  const inputs = `${decidedBy}, ${decidedMsAgo} ms before; next token expected in ${tokenInMs} ms`;
  if (reason === 'over-limit') {
    return `refused: tenant ${quota} had used up its quota, as decided by ${inputs}; see tenant-over-limit at ${decidedBy}`;
  }
  return decidedBy === ''
    ? `refused: no gateway that keeps the quota of tenant ${quota} answered`
    : `refused: the owner of the quota of tenant ${quota} did not grant tokens, and the last backup had none: ${inputs}`;
};

const describeStop = ({ sinceMs, leftMs, neededMs, waitMs }: StopInputs): string => {
  const wait = waitMs === undefined ? '' : ` after a wait of ${waitMs} ms for a slot`;
  return `refused: the gateway had been stopping for ${sinceMs} ms and had ${Math.max(0, leftMs)} ms left, too little for a route whose requests may take ${neededMs} ms${wait}`;
};

/** Describes a refusal whose line names its reason; undefined for other refusals. */
export const describeRefusal = (answer: AnswerLine): string | undefined => {
  const { reason, noRoute, refusedKey, blocked, unconfirmed, stop, limit, missing } = answer;
  if (noRoute !== undefined) {
    return describeNoRoute(noRoute);
  }
  if (refusedKey !== undefined) {
    return describeRefusedKey(refusedKey);
  }
  if (blocked !== undefined) {
    return describeBlock(blocked);
  }
  if (unconfirmed !== undefined) {
    return describeUnconfirmed(unconfirmed);
  }
  if (stop !== undefined && missing.length === 0) {
    return describeStop(stop);
  }
  return limit === undefined ? undefined : describeLimit(reason, limit);
};
