/** Exports the core's counters and state as Prometheus metrics, which are read at each scrape. */
import { Counter, Gauge, type Registry } from 'prom-client';
import { COUNTER_DESCRIPTIONS, COUNTER_NAMES, type CounterName } from '../core/counters.js';
import type { CoreState, LifecyclePhase } from '../core/state.js';
import type { MemberState } from '../protocol/membership-messages.js';

const PHASES: readonly LifecyclePhase[] = ['starting', 'serving', 'stopping', 'ended'];
const MEMBER_STATES: readonly MemberState[] = ['alive', 'suspect', 'leaving', 'dead'];

const registerCounter = (registry: Registry, name: CounterName, state: () => CoreState): void => {
  new Counter({
    name: `crossroad_${name}_total`,
    help: COUNTER_DESCRIPTIONS[name],
    registers: [registry],
    collect() {
      this.reset();
      this.inc(state().counters[name]);
    },
  });
};

const registerGauge = (
  registry: Registry,
  name: string,
  help: string,
  read: () => number,
): void => {
  new Gauge({
    name,
    help,
    registers: [registry],
    collect() {
      this.set(read());
    },
  });
};

const registerPhase = (registry: Registry, state: () => CoreState): void => {
  new Gauge({
    name: 'crossroad_phase',
    help: '1 for the phase the node is in, 0 for the others.',
    labelNames: ['phase'],
    registers: [registry],
    collect() {
      PHASES.forEach((phase) => {
        this.set({ phase }, state().phase === phase ? 1 : 0);
      });
    },
  });
};

const countMembers = (state: CoreState, memberState: MemberState): number => {
  let count = 0;
  for (const member of state.membership.members.values()) {
    count += member.state === memberState ? 1 : 0;
  }
  return count;
};

const registerMembers = (registry: Registry, state: () => CoreState): void => {
  new Gauge({
    name: 'crossroad_members',
    help: 'Members this node knows, itself among them, by state.',
    labelNames: ['state'],
    registers: [registry],
    collect() {
      MEMBER_STATES.forEach((memberState) => {
        this.set({ state: memberState }, countMembers(state(), memberState));
      });
    },
  });
};

/** Registers all metrics of a core in `registry`. */
export const registerCoreMetrics = (registry: Registry, state: () => CoreState): void => {
  COUNTER_NAMES.forEach((name) => {
    registerCounter(registry, name, state);
  });
  registerPhase(registry, state);
  registerMembers(registry, state);
  registerGauge(
    registry,
    'crossroad_configuration_revision',
    'All changes of the store up to this revision are in force at this node.',
    () => state().configuration.revision,
  );
  registerGauge(
    registry,
    'crossroad_queries_in_progress',
    'Queries this node coordinates that have no final answer yet.',
    () => state().query.inProgress,
  );
  registerGauge(
    registry,
    'crossroad_attempts_in_progress',
    'Attempts at replicas that this node has queued or sent and that have not ended.',
    () => state().replica.attemptsInProgress,
  );
};
