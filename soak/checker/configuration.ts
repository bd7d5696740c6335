/** A version is in force within its time at all gateways in touch, and none goes back within one life. */
import { type CallerRequest, UNKNOWN_LIFE, type Version } from '../model/observations.js';
import { type Evidence, findRoute } from './evidence.js';
import type { Violation } from './violation.js';

const NOT_FOUND = 404;

/** Something that only some versions allow. */
interface Sign {
  readonly request: CallerRequest;
  readonly at: number;
  readonly what: string;
  readonly fits: (version: Version) => boolean;
}

const signsOf = (evidence: Evidence, request: CallerRequest): readonly Sign[] => {
  const { id, path, outcome, endedAt } = request;
  const runs = evidence.runsOf(id).map(({ at, service }): Sign => ({
    request,
    at,
    what: `${path} ran on ${service}`,
    fits: (version) => findRoute(version, path)?.services.includes(service) ?? false,
  }));
  if (outcome.type !== 'answered' || outcome.status !== NOT_FOUND || runs.length > 0) {
    return runs;
  }
  const fits = (version: Version): boolean => findRoute(version, path) === undefined;
  return [{ request, at: endedAt, what: `${path} was answered 404`, fits }];
};

const report = ({ request, at, what }: Sign, problem: string): Violation => ({
  promise: 'configuration',
  at,
  gateway: request.gateway,
  requestId: request.id,
  text: `${what}, ${problem}`,
});

const nameOf = (evidence: Evidence, index: number): string => {
  const version = evidence.observations.versions[index];
  return version === undefined
    ? 'no version'
    : `version ${version.version} (acknowledged at ${Math.round(version.acknowledgedAt)})`;
};

/** What no version that was ever written allows, or only one that should be out of force. */
const checkSign = (evidence: Evidence, sign: Sign): readonly Violation[] => {
  const { request, at, fits } = sign;
  const newest = evidence.newestAt(at);
  if (evidence.versionsWhere(0, newest, fits).length === 0) {
    return [report(sign, 'which no version allows')];
  }
  const oldest = evidence.oldestAt(request.sentAt);
  if (oldest === 0 || !evidence.isRequestInTouch(request, request.sentAt, at)) {
    return [];
  }
  evidence.noteJudged('configuration', 1);
  return evidence.versionsWhere(oldest, newest, fits).length === 0
    ? [report(sign, `though ${nameOf(evidence, oldest)} has been due since`)]
    : [];
};

/** The newest version that a process has shown to have, and when it had. */
interface Shown {
  index: number;
  at: number;
}

/** Signs in the order of time, those of one process of a gateway. */
const checkLife = (evidence: Evidence, signs: readonly Sign[]): readonly Violation[] => {
  const { rollbackSlackMs } = evidence.run.bounds;
  const history: Shown[] = [];
  return signs.flatMap((sign) => {
    const fitting = evidence.versionsWhere(0, evidence.newestAt(sign.at), sign.fits);
    const before = history.findLast(({ at }) => at + rollbackSlackMs < sign.request.sentAt);
    const newest = fitting.at(-1) ?? -1;
    const isBack = before !== undefined && fitting.length > 0 && newest < before.index;
    const oldest = fitting[0] ?? -1;
    if (oldest > (history.at(-1)?.index ?? -1)) {
      history.push({ index: oldest, at: sign.at });
    }
    return isBack
      ? [report(sign, `after ${nameOf(evidence, before.index)} was in force in the same process`)]
      : [];
  });
};

const checkRegress = (evidence: Evidence, signs: readonly Sign[]): readonly Violation[] => {
  const lives = new Map<string, Sign[]>();
  for (const sign of [...signs].sort((left, right) => left.at - right.at)) {
    const { gateway, life } = sign.request;
    const name = `${gateway}/${life}`;
    if (life !== UNKNOWN_LIFE) {
      lives.set(name, lives.get(name) ?? []);
      lives.get(name)?.push(sign);
    }
  }
  return [...lives.values()].flatMap((each) => checkLife(evidence, each));
};

/** Finds what only versions allow that are not in force any more, or not yet. */
export const checkConfiguration = (evidence: Evidence): readonly Violation[] => {
  const signs = evidence.observations.requests.flatMap((request) => signsOf(evidence, request));
  return [...signs.flatMap((sign) => checkSign(evidence, sign)), ...checkRegress(evidence, signs)];
};
