/** A process of a simulated node and the execution of its core's effects. */
import type { Effect } from '../core/effect.js';
import type { CoreState } from '../core/state.js';
import type { BackendClient } from './backend-client.js';
import type { NodeEnvironment } from './node-environment.js';
import type { SimulatedNode } from './simulated-node.js';
import type { Timers } from './timers.js';

/** One process of a node; a restart creates a new one. */
export interface SimulatedProcess {
  readonly node: SimulatedNode;
  readonly environment: NodeEnvironment;
  readonly state: CoreState;
  readonly timers: Timers;
  readonly backends: BackendClient;
  /** Virtual time at which the process started, in milliseconds. */
  readonly startedAt: number;
  /** Reading of the process's monotonic clock at its start, in milliseconds. */
  readonly clockOffset: number;
}

/** Returns the reading of the process's monotonic clock, in milliseconds. */
export const clockOf = ({ environment, startedAt, clockOffset }: SimulatedProcess): number =>
  environment.scheduler.now - startedAt + clockOffset;

const executeRareEffect = (
  process: SimulatedProcess,
  effect: Extract<
    Effect,
    { type: 'read-machines' | 'read-object' | 'write-object' | 'write-log' | 'end-process' }
  >,
): void => {
  const { node } = process;
  const { store } = process.environment;
  switch (effect.type) {
    case 'read-machines':
      store.readMachines(node);
      return;
    case 'read-object':
      store.readObject(node, effect.request, effect.name);
      return;
    case 'write-object':
      store.writeObject(node, effect.request, effect.name, effect.expectedVersion, effect.content);
      return;
    case 'write-log':
      return;
    case 'end-process':
      node.completePlannedStop();
  }
};

/** Executes an effect of the process's core. */
export const executeEffect = (process: SimulatedProcess, effect: Effect): void => {
  const { node, environment } = process;
  const { network, store, calls } = environment;
  switch (effect.type) {
    case 'set-timer':
      process.timers.set(effect.key, effect.at - clockOf(process));
      return;
    case 'cancel-timer':
      process.timers.cancel(effect.key);
      return;
    case 'send-datagram':
      network.sendDatagram(node, effect.to, effect.message);
      return;
    case 'send-link':
      network.sendLink(node, effect.address, effect.to, effect.message);
      return;
    case 'send-attempt':
      process.backends.send(effect);
      return;
    case 'cancel-attempt':
      process.backends.cancel(effect.attempt);
      return;
    case 'close-replica':
      process.backends.close(effect.host, effect.port);
      return;
    case 'answer-caller':
      calls.answerCaller(effect.call, effect.outcome);
      return;
    case 'answer-operator':
      calls.answerOperator(effect.call, effect.outcome);
      return;
    case 'watch-store':
      store.watch(node, effect.after);
      return;
    case 'unwatch-store':
      store.unwatch(node);
      return;
    default:
      executeRareEffect(process, effect);
  }
};
