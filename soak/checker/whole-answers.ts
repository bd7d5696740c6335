/** Checks that every successful answer is complete, belongs to its request, and has the greatest records of a gather. */
import type { CallerRequest, Outcome, ReplicaAnswer } from '../model/observations.js';
import { bodyOf, digestOf, RECORD_BYTES } from '../world/answer-body.js';
import { type Evidence, findRoute } from './evidence.js';
import type { Violation } from './violation.js';

type Answered = Extract<Outcome, { type: 'answered' }>;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

const recordsOf = (body: Buffer): readonly Buffer[] =>
  Array.from({ length: Math.floor(body.length / RECORD_BYTES) }, (_, index) =>
    body.subarray(index * RECORD_BYTES, (index + 1) * RECORD_BYTES),
  );

/** Returns the greatest records of the answers with these signatures, in descending order. */
export const greatestRecords = (signatures: readonly string[], count: number): Buffer => {
  const records = signatures.flatMap((signature) => recordsOf(bodyOf(signature)));
  return Buffer.concat(records.sort((left, right) => Buffer.compare(right, left)).slice(0, count));
};

const findWrongPart = (
  id: string,
  parts: readonly (ReplicaAnswer | undefined)[],
): string | undefined => {
  if (parts.some((part) => part?.requestId !== id || !isSuccess(part.status))) {
    return 'names a part that is no successful answer to this request';
  }
  const services = new Set(parts.map((part) => part?.service));
  return services.size < parts.length ? 'names two parts of the same shard' : undefined;
};

const checkGather = (
  evidence: Evidence,
  { id, path, endedAt }: CallerRequest,
  answer: Answered,
): string | undefined => {
  const { partSignatures, missingParts, bodyDigest } = answer;
  if (partSignatures.length === 0) {
    return 'names no parts';
  }
  const parts = partSignatures.map((each) => evidence.observations.answers.get(each));
  const wrongPart = findWrongPart(id, parts);
  if (wrongPart !== undefined) {
    return wrongPart;
  }
  const services = parts.map((part) => part?.service ?? '');
  const total = parts.length + missingParts;
  const fits = evidence.versionsWhere(0, evidence.newestAt(endedAt), (version) => {
    const route = findRoute(version, path);
    const { gather } = route ?? {};
    return (
      route?.services.length === total &&
      services.every((service) => route.services.includes(service)) &&
      gather !== undefined &&
      parts.length >= gather.minCoverage * total &&
      digestOf(greatestRecords(partSignatures, gather.maxRecords)) === bodyDigest
    );
  });
  const named = `${services.join(', ')} and ${missingParts} missing`;
  return fits.length === 0 ? `matches no version: ${named}, or has wrong records` : undefined;
};

const checkSingle = (
  evidence: Evidence,
  { id }: CallerRequest,
  { status, signature, bodyDigest }: Answered,
): string | undefined => {
  if (signature === undefined) {
    return isSuccess(status) ? 'is a success without a signature' : undefined;
  }
  const given = evidence.observations.answers.get(signature);
  if (given === undefined) {
    return `has a signature that no replica sent: ${signature}`;
  }
  if (given.requestId !== id) {
    return `belongs to request ${given.requestId}`;
  }
  if (given.status !== status) {
    return `has status ${status} although the replica sent ${given.status}`;
  }
  const isWhole = digestOf(bodyOf(signature)) === bodyDigest;
  return isSuccess(status) && !isWhole
    ? 'does not have the complete body of the replica'
    : undefined;
};

const findDefect = (evidence: Evidence, request: CallerRequest): string | undefined => {
  const { outcome, id } = request;
  if (outcome.type !== 'answered') {
    return undefined;
  }
  if (outcome.answeredId !== undefined && outcome.answeredId !== id) {
    return `has the identifier of ${outcome.answeredId}`;
  }
  evidence.recordCases('whole-answers', 1);
  return isSuccess(outcome.status) && evidence.isGather(request)
    ? checkGather(evidence, request, outcome)
    : checkSingle(evidence, request, outcome);
};

/** Finds answers that belong to another request or are incomplete. */
export const checkWholeAnswers = (evidence: Evidence): readonly Violation[] =>
  evidence.observations.requests.flatMap((request): readonly Violation[] => {
    const defect = findDefect(evidence, request);
    if (defect === undefined) {
      return [];
    }
    const { id, gateway, endedAt, path } = request;
    const text = `the answer to ${path} ${defect}`;
    return [{ promise: 'whole-answers', at: endedAt, gateway, requestId: id, text }];
  });
