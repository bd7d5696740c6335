/** The named faults of replicas, as fault changes of the replica model. */
import {
  type ReplicaFaultChange,
  HEALTHY_BEHAVIOUR,
} from '../../standins/replica-model/replica-faults.js';
import type { SimulatedReplica } from '../simulated-replica.js';
import type { ReplicaFaultName } from './action.js';

const SLOW_FACTOR = 10;
const COLD_MS = 3_000;
const FAULTY_ANSWER_SHARE = 0.5;
/** Slows requests beyond the deadlines of most queries. */
const LATE_FACTOR = 400;

const CHANGES: Readonly<Record<ReplicaFaultName, ReplicaFaultChange>> = {
  none: HEALTHY_BEHAVIOUR,
  slow: { slowFactor: SLOW_FACTOR },
  frozen: { frozen: true },
  dead: { dead: true },
  shedding: { shedding: true },
  leaving: { lifecycle: 'leaving' },
  cold: { coldMs: COLD_MS, lifecycle: 'warming' },
  'wrong-answers': { wrongAnswerShare: FAULTY_ANSWER_SHARE },
  truncated: { truncatedShare: FAULTY_ANSWER_SHARE },
  'load-frozen': { loadReport: 'frozen' },
  'load-inverted': { loadReport: 'inverted' },
  late: { slowFactor: LATE_FACTOR },
  oversized: { oversizedShare: FAULTY_ANSWER_SHARE },
  doubled: {},
};

/** Applies a named fault to a replica; `none` ends all faults. */
export const applyReplicaFault = (replica: SimulatedReplica, fault: ReplicaFaultName): void => {
  replica.setFaults(CHANGES[fault]);
  if (fault === 'doubled' || fault === 'none') {
    replica.duplicatesAnswers = fault === 'doubled';
  }
};
