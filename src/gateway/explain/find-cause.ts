/** Derives the most likely cause of a request's outcome from its log lines. */
import type { Decision, LimitRefusal } from '../log/log-event.js';
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
  const denied = linesWithEvent(lines, 'budget-denied').some((line) => line.service === service);
  const budget = denied ? '; a further attempt was denied by the retry budget' : '';
  return `${service}: ${attempts.join(', ') || 'no replica to send to'}${budget}`;
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

const describeBlock = ({
  fingerprint,
  rounds,
  level,
  forMs,
}: NonNullable<LineOf<'request-answered'>['blocked']>): string =>
  `refused: this request (fingerprint ${fingerprint}) crashed replicas in ${rounds} consecutive rounds and none answered it; it is blocked for ${forMs} ms more (block ${level}), then sent to one replica as a trial`;

const describeLimit = (
  reason: LineOf<'request-answered'>['reason'],
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
      if (answer.blocked !== undefined) {
        return describeBlock(answer.blocked);
      }
      if (answer.limit !== undefined) {
        return describeLimit(answer.reason, answer.limit);
      }
      if (missing.length === 0) {
        return `refused after ${elapsedMs} ms (${answer.reason ?? 'unknown'}) before an attempt was sent`;
      }
      return `refused ${time} (${answer.reason ?? 'unknown'}); ${describeMissing(lines, missing)}${describeCrashes(lines)}`;
    case 'partial':
      return `answered ${time} without ${missing.length} shards; ${describeMissing(lines, missing)}`;
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
