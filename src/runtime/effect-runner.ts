/** Dispatches each effect to the component that carries it out. */
import type { Effect } from '../core/effect.js';
import type { CallerServer } from './caller/caller-server.js';
import type { CoreTimers } from './core-timers.js';
import { type LogWriter, writeLogEffect } from './node-log.js';
import type { OperatorEdits } from './operator/operator-edits.js';
import type { Datagrams } from './peer/datagrams.js';
import type { PeerLinks } from './peer/peer-links.js';
import type { ReplicaClient } from './replica/replica-client.js';
import type { StoreClient } from './store/store-client.js';

/** The components of a node that carry out effects. */
export interface EffectParts {
  readonly timers: CoreTimers;
  readonly callers: CallerServer;
  readonly replicas: ReplicaClient;
  readonly links: PeerLinks;
  readonly datagrams: Datagrams;
  readonly store: StoreClient;
  readonly edits: OperatorEdits;
  readonly log: LogWriter;
  /** Called when all work is done and the node may exit. */
  endProcess(): void;
}

/** Carries out an effect. A plain switch for speed, as it runs for each leg. */
export const runEffect = (parts: EffectParts, effect: Effect): void => {
  switch (effect.type) {
    case 'send-attempt':
      parts.replicas.send(effect);
      return;
    case 'cancel-attempt':
      parts.replicas.cancel(effect);
      return;
    case 'close-replica':
      parts.replicas.closeReplica(effect);
      return;
    case 'set-timer':
      parts.timers.set(effect);
      return;
    case 'cancel-timer':
      parts.timers.cancel(effect.key);
      return;
    case 'send-link':
      parts.links.send(effect);
      return;
    case 'answer-caller':
      parts.callers.answer(effect);
      return;
    default:
      runRareEffect(parts, effect);
  }
};

type FrequentEffect =
  | 'send-attempt'
  | 'cancel-attempt'
  | 'close-replica'
  | 'set-timer'
  | 'cancel-timer'
  | 'send-link'
  | 'answer-caller';

type RareEffect = Exclude<Effect, { type: FrequentEffect }>;

const runRareEffect = (parts: EffectParts, effect: RareEffect): void => {
  switch (effect.type) {
    case 'send-datagram':
      parts.datagrams.send(effect);
      return;
    case 'watch-store':
      parts.store.watchStore(effect.after);
      return;
    case 'unwatch-store':
      parts.store.unwatchStore();
      return;
    case 'read-machines':
      parts.store.readMachines();
      return;
    case 'read-object':
      parts.store.readObject(effect);
      return;
    case 'write-object':
      parts.store.writeObject(effect);
      return;
    case 'answer-operator':
      parts.edits.answer(effect);
      return;
    case 'write-log':
      writeLogEffect(parts.log, effect);
      return;
    case 'end-process':
      parts.endProcess();
      return;
  }
};
