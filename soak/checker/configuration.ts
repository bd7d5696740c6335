/** A version is in force within its time at all gateways in touch, and none goes back within one life. */
import { type CallerRequest, UNKNOWN_INCARNATION, type Version } from '../model/observations.js';
import { type Evidence, findRoute } from './evidence.js';
import type { Violation } from './violation.js';

const NOT_FOUND = 404;

/** Something that only some versions allow. */
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

/** What no version that was ever written allows, or only one that should be out of force. */
const checkVersionEvidence = (
  evidence: Evidence,
  evidenceItem: VersionEvidence,
): readonly Violation[] => {
  const { request, at, fits } = evidenceItem;
  const newest = evidence.newestAt(at);
  if (evidence.versionsWhere(0, newest, fits).length === 0) {
    return [createViolation(evidenceItem, 'which no version allows')];
  }
  const oldest = evidence.oldestAt(request.sentAt);
  if (oldest === 0 || !evidence.isRequestInContact(request, request.sentAt, at)) {
    return [];
  }
  evidence.recordCases('configuration', 1);
  return evidence.versionsWhere(oldest, newest, fits).length === 0
    ? [
        createViolation(
          evidenceItem,
          `though ${describeVersion(evidence, oldest)} has been due since`,
        ),
      ]
    : [];
};

/** The newest version that a process has shown to have, and when it had. */
interface ShownVersion {
  index: number;
  at: number;
}

/** Signs in the order of time, those of one process of a gateway. */
const checkProcess = (
  evidence: Evidence,
  observed: readonly VersionEvidence[],
): readonly Violation[] => {
  const { rollbackSlackMs } = evidence.run.bounds;
  const history: ShownVersion[] = [];
  return observed.flatMap((evidenceItem) => {
    const fitting = evidence.versionsWhere(
      0,
      evidence.newestAt(evidenceItem.at),
      evidenceItem.fits,
    );
    const before = history.findLast(({ at }) => at + rollbackSlackMs < evidenceItem.request.sentAt);
    const newest = fitting.at(-1) ?? -1;
    const isRollback = before !== undefined && fitting.length > 0 && newest < before.index;
    const oldest = fitting[0] ?? -1;
    if (oldest > (history.at(-1)?.index ?? -1)) {
      history.push({ index: oldest, at: evidenceItem.at });
    }
    return isRollback
      ? [
          createViolation(
            evidenceItem,
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
  for (const evidenceItem of [...observed].sort((left, right) => left.at - right.at)) {
    const { gateway, incarnation } = evidenceItem.request;
    const name = `${gateway}/${incarnation}`;
    if (incarnation !== UNKNOWN_INCARNATION) {
      byProcess.set(name, byProcess.get(name) ?? []);
      byProcess.get(name)?.push(evidenceItem);
    }
  }
  return [...byProcess.values()].flatMap((each) => checkProcess(evidence, each));
};

/** Finds what only versions allow that are not in force any more, or not yet. */
export const checkConfiguration = (evidence: Evidence): readonly Violation[] => {
  const observed = evidence.observations.requests.flatMap((request) =>
    collectVersionEvidence(evidence, request),
  );
  return [
    ...observed.flatMap((evidenceItem) => checkVersionEvidence(evidence, evidenceItem)),
    ...checkRollbacks(evidence, observed),
  ];
};
