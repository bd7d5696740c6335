/** Derives the most likely cause of a request's outcome from its log lines. */
import type { Decision } from '../log/log-event.js';
import type { RequestLine } from './read-lines.js';

type LineOf<Event extends Decision['event']> = Extract<RequestLine, { readonly event: Event }>;

const linesWithEvent = <Event extends Decision['event']>(
  lines: readonly RequestLine[],
  event: Event,
): readonly LineOf<Event>[] => lines.filter((line): line is LineOf<Event> => line.event === event);

interface AttemptLines {
  readonly sent: LineOf<'attempt-sent'>;
  readonly ended: LineOf<'attempt-ended'> | undefined;
}

const attemptsOfService = (
  lines: readonly RequestLine[],
  service: string,
): readonly AttemptLines[] => {
  const ends = linesWithEvent(lines, 'attempt-ended');
  return linesWithEvent(lines, 'attempt-sent')
    .filter((sent) => sent.service === service)
    .map((sent) => ({ sent, ended: ends.find(({ attempt }) => attempt === sent.attempt) }));
};

const describeAttempt = ({ sent, ended }: AttemptLines): string => {
  const outcome =
    ended === undefined || ended.dropped
      ? 'no answer in time'
      : `${ended.outcome} after ${ended.elapsedMs} ms`;
  return `${sent.replica} (${sent.reason}): ${outcome}`;
};

const describeService = (lines: readonly RequestLine[], service: string): string => {
  const attempts = attemptsOfService(lines, service).map(describeAttempt);
  const dropped = linesWithEvent(lines, 'attempt-dropped').find((line) => line.service === service);
  const waited =
    dropped === undefined
      ? ''
      : `; an attempt waited ${dropped.waitedMs} ms for room at the replicas and was dropped ${dropped.leftMs} ms before the deadline`;
  const denied = linesWithEvent(lines, 'budget-denied').some((line) => line.service === service);
  const noAttempt = dropped === undefined ? 'no replica to send to' : 'no attempt started';
  const budget = denied ? '; a further attempt was denied by the retry budget' : '';
  return `${service}: ${attempts.join(', ') || noAttempt}${waited}${budget}`;
};

const describeMissing = (lines: readonly RequestLine[], missing: readonly string[]): string =>
  missing.map((service) => describeService(lines, service)).join('; ');

const describeSlowestAttempt = (lines: readonly RequestLine[]): string => {
  const used = linesWithEvent(lines, 'attempt-ended').filter(({ dropped }) => !dropped);
  const slowest = used.reduce<LineOf<'attempt-ended'> | undefined>(
    (worst, line) => (worst === undefined || line.elapsedMs > worst.elapsedMs ? line : worst),
    undefined,
  );
  return slowest === undefined
    ? 'no attempt ended before the answer'
    : `the last part came from ${slowest.replica} after ${slowest.elapsedMs} ms`;
};

const describeNoRoute = ({
  host,
  path,
  version,
  versionAgeMs,
}: NonNullable<LineOf<'request-answered'>['noRoute']>): string =>
  `refused: no route of version ${version}, in force for ${versionAgeMs} ms, matches ${host}${path}`;

const describeRefusedKey = ({
  route,
  keys,
  version,
  versionAgeMs,
}: NonNullable<LineOf<'request-answered'>['refusedKey']>): string => {
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
}: NonNullable<LineOf<'request-answered'>['blocked']>): string =>
  `refused: this request (fingerprint ${fingerprint}) crashed replicas in ${rounds} consecutive rounds and none answered it; it is blocked for ${forMs} ms more (block ${level}), then sent to one replica as a trial`;

/** Describes why a gather was answered before all parts had arrived. */
const describeTiming = ({ timing }: LineOf<'request-answered'>): string => {
  if (timing === undefined) {
    return '';
  }
  const margin = `${timing.isMeasured ? 'measured' : 'fixed'} margin of ${timing.marginMs} ms`;
  const { expectedParts, lateShare = 0, lateShareThen = 0 } = timing;
  return expectedParts === undefined
    ? ` (${margin})`
    : ` (${margin}; waiting: ${expectedParts} more parts expected, risk of being late ${lateShareThen} instead of ${lateShare})`;
};

/** Names the waits for which a gather was refused or sent all the same. */
const describeLack = (lines: readonly RequestLine[]): string => {
  const [lack] = linesWithEvent(lines, 'room-lacking');
  if (lack === undefined) {
    return '';
  }
  const { rank, shards, maxMissing, waitMs, leftMs, isSent } = lack;
  const outcome = isSent ? 'it was sent all the same' : 'it was not sent';
  return `; at ${shards} shards, of which ${maxMissing} may be missing, requests of its class (rank ${rank}) were expected to wait longer than the ${leftMs} ms left (${waitMs} ms at the shard that decides), so ${outcome}`;
};

/** Whether the request was refused without being sent, because feeders had reported too long waits. */
const isRefusedAtOnce = (lines: readonly RequestLine[]): boolean =>
  linesWithEvent(lines, 'room-lacking').some(({ isSent }) => !isSent);

const describeUnconfirmed = ({
  ageMs,
  source,
  limitMs,
  version,
}: NonNullable<LineOf<'request-answered'>['unconfirmed']>): string => {
  const last =
    ageMs === undefined
      ? 'had not confirmed them since it started'
      : `last confirmed them ${ageMs} ms before (source: ${source ?? 'unknown'}), and ${Math.round(limitMs)} ms are allowed`;
  return `refused: API keys may have been removed from version ${version} without this gateway knowing it; it ${last}: see keys-unconfirmed`;
};

const describeCrashes = (lines: readonly RequestLine[]): string => {
  const crashed = linesWithEvent(lines, 'attempt-crashed').map(({ replica }) => replica);
  return crashed.length === 0
    ? ''
    : `; replicas that crashed while running it: ${crashed.join(', ')}`;
};

const explainAnswer = (
  lines: readonly RequestLine[],
  answer: LineOf<'request-answered'>,
): string => {
  const { outcome, elapsedMs, objectiveMs, missing } = answer;
  const time = `after ${elapsedMs} of ${objectiveMs} ms`;
  switch (outcome) {
    case 'refused':
      if (answer.noRoute !== undefined) {
        return describeNoRoute(answer.noRoute);
      }
      if (answer.refusedKey !== undefined) {
        return describeRefusedKey(answer.refusedKey);
      }
      if (answer.blocked !== undefined) {
        return describeBlock(answer.blocked);
      }
      if (answer.unconfirmed !== undefined) {
        return describeUnconfirmed(answer.unconfirmed);
      }
      if (isRefusedAtOnce(lines)) {
        return `refused at once (${answer.reason ?? 'unknown'})${describeLack(lines)}`;
      }
      if (missing.length === 0) {
        return `refused after ${elapsedMs} ms (${answer.reason ?? 'unknown'}) before an attempt was sent`;
      }
      return `refused ${time} (${answer.reason ?? 'unknown'}); ${describeMissing(lines, missing)}${describeCrashes(lines)}${describeLack(lines)}`;
    case 'partial':
      return `answered ${time} without ${missing.length} shards${describeTiming(answer)}; ${describeMissing(lines, missing)}`;
    case 'passed-on':
      return `a replica answered ${answer.status ?? 0} ${time}; ${describeSlowestAttempt(lines)}`;
    case 'whole':
      return `answered in full ${time}; ${describeSlowestAttempt(lines)}`;
  }
};

/** Names the version that routed the request if the store had been restored from a backup shortly before. */
const describeRestoredStore = (lines: readonly RequestLine[]): string => {
  const [admitted] = linesWithEvent(lines, 'request-admitted');
  if (admitted?.storeReturnedMsAgo === undefined) {
    return '';
  }
  const { version, versionAgeMs, storeReturnedMsAgo } = admitted;
  return `; routed by version ${version}, in force for ${versionAgeMs} ms; the store had been restored from a backup ${storeReturnedMsAgo} ms before: see store-returned`;
};

/** Describes the outcome of a request and its most likely cause in one sentence. */
export const findCause = (lines: readonly RequestLine[]): string => {
  const [left] = linesWithEvent(lines, 'caller-left');
  if (left !== undefined) {
    return `the caller closed its connection after ${left.elapsedMs} ms; ${describeSlowestAttempt(lines)}`;
  }
  const [answer] = linesWithEvent(lines, 'request-answered');
  if (answer !== undefined) {
    return `${explainAnswer(lines, answer)}${describeRestoredStore(lines)}`;
  }
  return lines.length === 0
    ? 'no log line about the request: it was not sampled, reached no gateway, or its gateway failed'
    : 'no final answer was logged: the gateway failed while the request ran';
};
