/** The faults that the tier must tolerate, by name: scenario steps that begin and end a fault. */
import type {
  ReplicaTarget,
  Scenario,
  ScenarioFault,
  ScenarioPartner,
  ScenarioStep,
} from '../../experiment/scenario.js';
import type { ReplicaFaultChange } from '../../standins/replica-model/replica-faults.js';
import type { StoreFaultChange } from '../../standins/store-model/store-faults.js';

/** Names of the faults. */
export const FAULT_NAMES = [
  'straggler',
  'replica-lost',
  'replica-frozen',
  'repartition',
  'roll-out',
  'store-down',
  'store-slow',
  'answer-lost',
  'zone-cut',
  'node-killed',
  'node-paused',
  'node-stopped',
  'drain',
  'cold-start',
  'shedding',
  'load-frozen',
  'load-inverted',
  'flood',
] as const;

/** A fault's name. */
export type FaultName = (typeof FAULT_NAMES)[number];

/** Start and duration of a fault, in milliseconds from the start of the measured period. */
export interface FaultTime {
  readonly fromMs: number;
  readonly durationMs: number;
}

const FIRST_REPLICA_OF_EACH: ReplicaTarget = { firstOfService: 1 };
const STRAGGLER_SHARE = 0.02;
const STRAGGLER_FACTOR = 10;
const FLOOD_FACTOR = 5;
const SLOW_STORE_MS = 2_000;
const LOST_ANSWER_SHARE = 0.5;
const PUBLISH_DELAY_MS = 10_000;
const NEXT_SNAPSHOT = 2;
const EDIT_WEIGHT = 2;

const faultWithEnd = (
  { fromMs, durationMs }: FaultTime,
  begin: ScenarioStep,
  end: ScenarioStep,
): ScenarioFault[] => [
  { atMs: fromMs, ...begin },
  { atMs: fromMs + durationMs, ...end },
];

const replicaFault =
  (target: ReplicaTarget, begin: ReplicaFaultChange, end: ReplicaFaultChange) =>
  (time: FaultTime): ScenarioFault[] =>
    faultWithEnd(
      time,
      { kind: 'replica-fault', target, change: begin },
      { kind: 'replica-fault', target, change: end },
    );

const storeFault =
  (begin: StoreFaultChange, end: StoreFaultChange) =>
  (time: FaultTime): ScenarioFault[] =>
    faultWithEnd(
      time,
      { kind: 'store-fault', change: begin },
      { kind: 'store-fault', change: end },
    );

const rollOut =
  (addedShards: number) =>
  ({ fromMs, durationMs }: FaultTime): ScenarioFault[] => [
    {
      atMs: fromMs,
      kind: 'roll-out',
      partner: 'ensemble',
      version: NEXT_SNAPSHOT,
      overMs: durationMs / 2,
      addedShards,
    },
  ];

const FAULTS: Readonly<Record<FaultName, (time: FaultTime) => ScenarioFault[]>> = {
  straggler: replicaFault(
    {},
    { slowFactor: STRAGGLER_FACTOR, slowShare: STRAGGLER_SHARE },
    { slowFactor: 1, slowShare: 1 },
  ),
  'replica-lost': replicaFault(FIRST_REPLICA_OF_EACH, { dead: true }, { dead: false }),
  'replica-frozen': replicaFault(FIRST_REPLICA_OF_EACH, { frozen: true }, { frozen: false }),
  repartition: rollOut(1),
  'roll-out': rollOut(0),
  'store-down': storeFault({ down: true }, { down: false }),
  'store-slow': storeFault({ delayMs: SLOW_STORE_MS }, { delayMs: 0 }),
  'answer-lost': storeFault({ loseAnswerShare: LOST_ANSWER_SHARE }, { loseAnswerShare: 0 }),
  'zone-cut': (time) =>
    faultWithEnd(time, { kind: 'zone-cut', zones: ['bole'] }, { kind: 'zone-heal' }),
  'node-killed': (time) =>
    faultWithEnd(
      time,
      { kind: 'node-fault', target: { node: 'arada-1' }, action: 'kill' },
      { kind: 'node-fault', target: { node: 'arada-1' }, action: 'start' },
    ),
  'node-paused': (time) =>
    faultWithEnd(
      time,
      { kind: 'node-fault', target: { node: 'kirkos-1' }, action: 'pause' },
      { kind: 'node-fault', target: { node: 'kirkos-1' }, action: 'resume' },
    ),
  'node-stopped': (time) =>
    faultWithEnd(
      time,
      { kind: 'node-fault', target: { node: 'yeka-1' }, action: 'stop' },
      { kind: 'node-fault', target: { node: 'yeka-1' }, action: 'start' },
    ),
  drain: ({ fromMs }) => [
    {
      atMs: fromMs,
      kind: 'drain',
      target: { group: 'booking-desk', firstOfService: 1 },
      publishAfterMs: PUBLISH_DELAY_MS,
    },
  ],
  'cold-start': ({ fromMs, durationMs }) => [
    {
      atMs: fromMs,
      kind: 'replica-fault',
      target: FIRST_REPLICA_OF_EACH,
      change: { coldMs: durationMs },
    },
  ],
  shedding: replicaFault(FIRST_REPLICA_OF_EACH, { shedding: true }, { shedding: false }),
  'load-frozen': replicaFault({}, { loadReport: 'frozen' }, { loadReport: 'true' }),
  'load-inverted': replicaFault({}, { loadReport: 'inverted' }, { loadReport: 'true' }),
  flood: (time) =>
    faultWithEnd(
      time,
      { kind: 'load-factor', partner: 'ensemble', factor: FLOOD_FACTOR },
      { kind: 'load-factor', partner: 'ensemble', factor: 1 },
    ),
};

/** Both partners' deployments under a short load, without faults. */
const BASE: Omit<Scenario, 'name' | 'title' | 'faults'> = {
  partners: ['ensemble', 'tawe'],
  scale: { services: 1, replicas: 1 },
  nodesPerZone: 2,
  serviceTimeFactor: 1,
  warmUpMs: 1_000,
  durationMs: 12_000,
  load: [
    { partner: 'ensemble', queriesPerSecond: 20 },
    { partner: 'tawe', queriesPerSecond: 10 },
  ],
  settleMs: 0,
};

const FAULT_TIME: FaultTime = { fromMs: 2_000, durationMs: 5_000 };
/** Delay between the starts of consecutive faults, in milliseconds. */
const SECOND_FAULT_MS = 1_500;

const editOf = (
  partner: ScenarioPartner,
  route: string,
  requestKind: string,
  atMs: number,
): ScenarioFault => ({ atMs, kind: 'edit', partner, route, requestKind, weight: EDIT_WEIGHT });

const EDITS: readonly ScenarioFault[] = [
  editOf('ensemble', 'season-roster', 'page', FAULT_TIME.fromMs + 1_000),
  editOf('tawe', 'quote', 'builder', FAULT_TIME.fromMs + 1_500),
];

/** Builds a scenario in which `faults` start one after the other while each partner edits a row. */
export const buildFaultScenario = (faults: readonly FaultName[]): Scenario => ({
  ...BASE,
  name: faults.join('+'),
  title: `Both deployments under ${faults.join(' and ')}`,
  faults: [
    ...faults.flatMap((name, index) =>
      FAULTS[name]({ ...FAULT_TIME, fromMs: FAULT_TIME.fromMs + index * SECOND_FAULT_MS }),
    ),
    ...EDITS,
  ].sort((a, b) => a.atMs - b.atMs),
});

/** Returns each fault alone. */
export const listSingleFaults = (): FaultName[][] => FAULT_NAMES.map((name) => [name]);

/** Returns all pairs of different faults. */
export const listFaultPairs = (): FaultName[][] =>
  FAULT_NAMES.flatMap((first, index) =>
    FAULT_NAMES.slice(index + 1).map((second) => [first, second]),
  );
