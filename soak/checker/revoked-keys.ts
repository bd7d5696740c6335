/** Checks that nothing runs for a request that was sent too long after the removal of its key. */
import type { CallerRequest } from '../model/observations.js';
import type { Evidence } from './evidence.js';
import { hasTenants, holderOf } from './tenant-evidence.js';
import type { Violation } from './violation.js';

/** Returns when the store acknowledged the removal of the request's key; undefined if the key was valid or never known. */
const findRemoval = (evidence: Evidence, { apiKey, sentAt }: CallerRequest): number | undefined => {
  const { versions } = evidence.observations;
  const newest = evidence.newestAt(sentAt);
  const last = versions
    .slice(0, newest + 1)
    .findLastIndex((version) => holderOf(version, apiKey) !== undefined);
  return last < 0 || last === newest ? undefined : versions[last + 1]?.acknowledgedAt;
};

/**
 * Finds runs of requests that their callers sent more than the bound after the store had acknowledged the removal of
 * their key. No disturbance excuses them: the bound holds at every gateway.
 */
export const checkRevokedKeys = (evidence: Evidence): readonly Violation[] => {
  const { keyRevocationMs } = evidence.run.bounds;
  if (keyRevocationMs === undefined || !hasTenants(evidence)) {
    return [];
  }
  return evidence.observations.requests.flatMap((request): readonly Violation[] => {
    const removedAt = findRemoval(evidence, request);
    if (removedAt === undefined || request.sentAt - removedAt <= keyRevocationMs) {
      return [];
    }
    evidence.recordCases('revoked-keys', 1);
    const run = evidence.runsOf(request.id)[0];
    const lateMs = Math.round(request.sentAt - removedAt);
    const text = `ran, although it was sent ${lateMs} ms after the store acknowledged the removal of its key`;
    const { gateway, id } = request;
    return run === undefined
      ? []
      : [{ promise: 'revoked-keys', at: run.at, gateway, requestId: id, text }];
  });
};
