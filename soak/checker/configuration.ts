/** Checks that a version comes into force in time at all gateways in contact, and that no process reverts to an older one. */
import { type CallerRequest, UNKNOWN_INCARNATION, type Version } from '../model/observations.js';
import { type Evidence, findRoute } from './evidence.js';
import type { Violation } from './violation.js';

const NOT_FOUND = 404;

/** An observation that only some versions allow. */
interface VersionEvidence {
  readonly request: CallerRequest;
  readonly at: number;
  readonly what: string;
  readonly fits: (version: Version) => boolean;
}

const collectVersionEvidence = (
  evidence: Evidence,
  request: CallerRequest,
): readonly VersionEvidence[] => {
  const { id, path, outcome, endedAt } = request;
  const runs = evidence.runsOf(id).map(({ at, service }): VersionEvidence => ({
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

const createViolation = ({ request, at, what }: VersionEvidence, problem: string): Violation => ({
  promise: 'configuration',
  at,
  gateway: request.gateway,
  requestId: request.id,
  text: `${what}, ${problem}`,
});

const describeVersion = (evidence: Evidence, index: number): string => {
  const version = evidence.observations.versions[index];
  return version === undefined
    ? 'no version'
    : `version ${version.version} (acknowledged at ${Math.round(version.acknowledgedAt)})`;
};

/** Checks that some version allows the observation, and that it may still be in force. */
const checkVersionEvidence = (evidence: Evidence, item: VersionEvidence): readonly Violation[] => {
  const { request, at, fits } = item;
  const newest = evidence.newestAt(at);
  if (evidence.versionsWhere(0, newest, fits).length === 0) {
    return [createViolation(item, 'which no version allows')];
  }
  const oldest = evidence.oldestAt(request.sentAt);
  if (oldest === 0 || !evidence.isRequestInContact(request, request.sentAt, at)) {
    return [];
  }
  evidence.recordCases('configuration', 1);
  return evidence.versionsWhere(oldest, newest, fits).length === 0
    ? [createViolation(item, `although ${describeVersion(evidence, oldest)} had to be in force`)]
    : [];
};

/** The newest version that a process is known to have had, and when. */
interface ShownVersion {
  index: number;
  at: number;
}

/** Checks the observations of one gateway process, in order of time, for rollbacks. */
const checkProcess = (
  evidence: Evidence,
  observed: readonly VersionEvidence[],
): readonly Violation[] => {
  const { rollbackSlackMs } = evidence.run.bounds;
  const history: ShownVersion[] = [];
  return observed.flatMap((item) => {
    const fitting = evidence.versionsWhere(0, evidence.newestAt(item.at), item.fits);
    const before = history.findLast(({ at }) => at + rollbackSlackMs < item.request.sentAt);
    const newest = fitting.at(-1) ?? -1;
    const isRollback = before !== undefined && fitting.length > 0 && newest < before.index;
    const oldest = fitting[0] ?? -1;
    if (oldest > (history.at(-1)?.index ?? -1)) {
      history.push({ index: oldest, at: item.at });
    }
    return isRollback
      ? [
          createViolation(
            item,
            `after ${describeVersion(evidence, before.index)} was in force in the same process`,
          ),
        ]
      : [];
  });
};

const checkRollbacks = (
  evidence: Evidence,
  observed: readonly VersionEvidence[],
): readonly Violation[] => {
  const byProcess = new Map<string, VersionEvidence[]>();
  for (const item of [...observed].sort((left, right) => left.at - right.at)) {
    const { gateway, incarnation } = item.request;
    const name = `${gateway}/${incarnation}`;
    if (incarnation !== UNKNOWN_INCARNATION) {
      byProcess.set(name, byProcess.get(name) ?? []);
      byProcess.get(name)?.push(item);
    }
  }
  return [...byProcess.values()].flatMap((each) => checkProcess(evidence, each));
};

/** Finds requests handled by a version that is no longer in force, or that was reverted to. */
export const checkConfiguration = (evidence: Evidence): readonly Violation[] => {
  const observed = evidence.observations.requests.flatMap((request) =>
    collectVersionEvidence(evidence, request),
  );
  return [
    ...observed.flatMap((item) => checkVersionEvidence(evidence, item)),
    ...checkRollbacks(evidence, observed),
  ];
};
