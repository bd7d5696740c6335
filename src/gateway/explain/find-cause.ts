/** Derives the most likely cause of a request's outcome from its log lines. */
import type { Decision } from '../log/log-event.js';
import { describeRefusal } from './describe-refusal.js';
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

const describeCrashes = (lines: readonly RequestLine[]): string => {
  const crashed = linesWithEvent(lines, 'attempt-crashed').map(({ replica }) => replica);
  return crashed.length === 0
    ? ''
    : `; replicas that crashed while running it: ${crashed.join(', ')}`;
};

const explainRefusal = (
  lines: readonly RequestLine[],
  answer: LineOf<'request-answered'>,
  time: string,
): string => {
  const { reason = 'unknown', elapsedMs, missing } = answer;
  const described = describeRefusal(answer);
  if (described !== undefined) {
    return described;
  }
  if (isRefusedAtOnce(lines)) {
    return `refused at once (${reason})${describeLack(lines)}`;
  }
  return missing.length === 0
    ? `refused after ${elapsedMs} ms (${reason}) before an attempt was sent`
    : `refused ${time} (${reason}); ${describeMissing(lines, missing)}${describeCrashes(lines)}${describeLack(lines)}`;
};

const explainAnswer = (
  lines: readonly RequestLine[],
  answer: LineOf<'request-answered'>,
): string => {
  const { outcome, elapsedMs, objectiveMs, missing } = answer;
  const time = `after ${elapsedMs} of ${objectiveMs} ms`;
  switch (outcome) {
    case 'refused':
      return explainRefusal(lines, answer, time);
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
