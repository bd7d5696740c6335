/** Logs changes of replica entries, in a bounded number of lines of bounded length. */
import type { WriteLog } from '../effect.js';
import type { StateChange, ReplicaState } from '../log/log-event.js';

/** Largest number of changes of one page or watch answer that are logged one per line; a service seldom has more replicas. */
const MAX_LINES = 4;

/** Most characters of service names in one line, which keeps the line below the 4,096 bytes of one write. */
const MAX_NAMES_LENGTH = 3_000;

/** Characters of a service's entry in addition to its name: quotes, colon, comma and a count of four digits. */
const ENTRY_LENGTH = 8;

/** A change of one replica's state in the store. */
export interface ReplicaChange {
  readonly replica: string;
  readonly service: string;
  readonly state: ReplicaState;
}

type ServiceCounts = Map<string, number>;

/** Counts changes by state and service. Changes of services that do not fit in the line are counted in `unnamed`. */
const summarize = (changes: readonly ReplicaChange[]): StateChange => {
  const counted: Record<ReplicaState, ServiceCounts> = {
    listed: new Map(),
    draining: new Map(),
    gone: new Map(),
  };
  let namesLength = 0;
  let unnamed = 0;
  for (const { service, state } of changes) {
    const counts = counted[state];
    const length = counts.has(service) ? 0 : service.length + ENTRY_LENGTH;
    if (namesLength + length > MAX_NAMES_LENGTH) {
      unnamed += 1;
    } else {
      namesLength += length;
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
  }
  const present = Object.entries(counted).filter(([, counts]) => counts.size > 0);
  return {
    event: 'replicas-changed',
    replicas: changes.length,
    ...Object.fromEntries(present.map(([state, counts]) => [state, Object.fromEntries(counts)])),
    ...(unnamed > 0 && { unnamed }),
  };
};

const writeLog = (change: StateChange): WriteLog => ({
  type: 'write-log',
  level: 'info',
  part: 'replica',
  change,
});

/** Log lines for the changes of one page, watch answer or reader's update: one for each replica, or one summary. */
export const logReplicaChanges = (changes: readonly ReplicaChange[]): WriteLog[] =>
  changes.length > MAX_LINES
    ? [writeLog(summarize(changes))]
    : changes.map((change) => writeLog({ event: 'replica-changed', ...change }));
