/** Checks what was observed during a scenario of the rig. */
import type { RunResult } from '../load/run-result.js';
import type { RacedEdit } from './edit-race.js';
import type { RevisionRegression } from './revision-watch.js';

/** A checked statement and its result. */
export interface RigCheck {
  readonly statement: string;
  readonly holds: boolean;
  /** Short description of what was observed. */
  readonly seen: string;
}

/** Everything observed while a scenario ran. */
export interface RigObservation {
  readonly load: RunResult;
  readonly regressions: readonly RevisionRegression[];
  readonly revisionReadings: number;
  readonly edits: readonly RacedEdit[];
  readonly inconsistentEdits: readonly string[];
  /** Results of the scenario's own checks. */
  readonly stepChecks: readonly RigCheck[];
}

const sum = (load: RunResult, field: 'calls' | 'answered' | 'failed' | 'unknown' | 'notRun') =>
  load.kinds.reduce((total, kind) => total + kind[field], 0);

const describeReasons = (load: RunResult): string => {
  const reasons = new Map<string, number>();
  for (const kind of load.kinds) {
    for (const [reason, count] of Object.entries(kind.reasons)) {
      const place = `${kind.route}/${kind.kind} ${reason}`;
      reasons.set(place, (reasons.get(place) ?? 0) + count);
    }
  }
  return [...reasons].map(([place, count]) => `${place} ${count}`).join(', ');
};

const checkPromises = ({ load }: RigObservation): RigCheck[] => {
  const first = load.violations[0];
  const detail = first === undefined ? '' : `; first: ${first.promise} ${first.seen}`;
  return [
    {
      statement: 'callers and the replicas’ records show no broken promise',
      holds: load.violationCount === 0 && sum(load, 'calls') > 0,
      seen: `${load.violationCount} violations in ${sum(load, 'calls')} calls${detail}`,
    },
  ];
};

const checkConfiguration = (observation: RigObservation): RigCheck[] => {
  const { edits, inconsistentEdits, regressions, revisionReadings } = observation;
  const accepted = edits.filter(({ outcome }) => outcome === 'accepted').length;
  const unknown = edits.filter(({ outcome }) => outcome === 'unknown').length;
  return [
    {
      statement: 'the revision in force never decreases at a node',
      holds: regressions.length === 0 && revisionReadings > 0,
      seen: `${regressions.length} regressions in ${revisionReadings} readings`,
    },
    {
      statement: 'each accepted edit is in the history exactly once, each refused edit is not',
      holds: inconsistentEdits.length === 0 && accepted > 0,
      seen: `${accepted} of ${edits.length} accepted, ${unknown} unknown, ${inconsistentEdits.length} inconsistent${inconsistentEdits[0] === undefined ? '' : `; ${inconsistentEdits[0]}`}`,
    },
  ];
};

const checkAllAnswered = ({ load }: RigObservation): RigCheck => ({
  statement: 'all queries are answered: none failed, was refused or has an unknown outcome',
  holds: sum(load, 'answered') === sum(load, 'calls'),
  seen: `${sum(load, 'answered')} of ${sum(load, 'calls')} answered; ${describeReasons(load) || 'nothing else'}`,
});

/** Checks the promises, and that all queries are answered if `requiresAllAnswered`. */
export const checkObservation = (
  observation: RigObservation,
  requiresAllAnswered: boolean,
): RigCheck[] => [
  ...checkPromises(observation),
  ...checkConfiguration(observation),
  ...(requiresAllAnswered ? [checkAllAnswered(observation)] : []),
  ...observation.stepChecks,
];
