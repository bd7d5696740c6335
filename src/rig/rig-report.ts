/** What a scenario of the rig has shown. */
import type { RunResult } from '../load/run-result.js';
import type { RacedEdit } from './edit-race.js';
import type { RevisionRegression } from './revision-watch.js';

/** One statement that was checked. */
export interface RigCheck {
  readonly statement: string;
  readonly holds: boolean;
  /** What was seen, as a short phrase. */
  readonly seen: string;
}

/** Everything seen while a scenario ran. */
export interface RigObservation {
  readonly load: RunResult;
  readonly regressions: readonly RevisionRegression[];
  readonly revisionReadings: number;
  readonly edits: readonly RacedEdit[];
  readonly inconsistentEdits: readonly string[];
  /** Checks made by the scenario's own steps. */
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
      statement: 'no promise broken that a caller or the replicas’ records can show',
      holds: load.violationCount === 0 && sum(load, 'calls') > 0,
      seen: `${load.violationCount} violations in ${sum(load, 'calls')} calls${detail}`,
    },
  ];
};

const checkConfiguration = (observation: RigObservation): RigCheck[] => {
  const { edits, inconsistentEdits: misplacedEdits, regressions, revisionReadings } = observation;
  const accepted = edits.filter(({ outcome }) => outcome === 'accepted').length;
  const unknown = edits.filter(({ outcome }) => outcome === 'unknown').length;
  return [
    {
      statement: 'the revision in force never goes back at a node',
      holds: regressions.length === 0 && revisionReadings > 0,
      seen: `${regressions.length} regressions in ${revisionReadings} readings`,
    },
    {
      statement: 'each accepted edit stands exactly once in the history, each refused one nowhere',
      holds: misplacedEdits.length === 0 && accepted > 0,
      seen: `${accepted} of ${edits.length} accepted, ${unknown} unknown, ${misplacedEdits.length} misplaced${misplacedEdits[0] === undefined ? '' : `; ${misplacedEdits[0]}`}`,
    },
  ];
};

const checkAllAnswered = ({ load }: RigObservation): RigCheck => ({
  statement: 'no query failed, was refused or ended unknown',
  holds: sum(load, 'answered') === sum(load, 'calls'),
  seen: `${sum(load, 'answered')} of ${sum(load, 'calls')} answered; ${describeReasons(load) || 'nothing else'}`,
});

/** The checks of a scenario: the promises always, unbroken service where the scenario asks for it. */
export const checkObservation = (
  observation: RigObservation,
  requiresAllAnswered: boolean,
): RigCheck[] => [
  ...checkPromises(observation),
  ...checkConfiguration(observation),
  ...(requiresAllAnswered ? [checkAllAnswered(observation)] : []),
  ...observation.stepChecks,
];
