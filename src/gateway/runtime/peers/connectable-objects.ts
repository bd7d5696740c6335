/** Checks the addresses in updates of readers. A reader of an earlier build sends addresses that it has not checked. */
import { isConnectable } from '../../../settings/parse-host-port.js';
import type { PeerRecord } from '../../model/peer-record.js';
import type { ReplicaRecord } from '../../model/replica-record.js';
import type { ReaderUpdate } from '../../readers/reader-update.js';
import type { Stored } from '../../store/store-objects.js';

/** Returns the objects; those with an address to which no connection can be opened have no value, as if they were unreadable. */
const withoutValues = <Value>(
  objects: readonly Stored<Value>[],
  isUsable: (value: Value) => boolean,
): readonly Stored<Value>[] =>
  objects.map((object) =>
    object.value === undefined || isUsable(object.value)
      ? object
      : { name: object.name, gone: object.gone, problem: 'address is not an address' },
  );

const hasAddress = ({ address }: PeerRecord): boolean => isConnectable(address);

const isReplicaConnectable = (replica: ReplicaRecord): boolean => isConnectable(replica);

/** Returns an update in which every replica and gateway with a value has an address to which connections can be opened. */
export const withConnectableObjects = (update: ReaderUpdate): ReaderUpdate => {
  if (update.type === 'status') {
    return update;
  }
  switch (update.collection) {
    case 'replicas':
      return { ...update, objects: withoutValues(update.objects, isReplicaConnectable) };
    case 'gateways':
      return { ...update, objects: withoutValues(update.objects, hasAddress) };
    default:
      return update;
  }
};
