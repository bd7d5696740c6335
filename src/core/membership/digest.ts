/** The digest of a node, sent with each ping and acknowledgement. */
import type { Piggyback } from '../../protocol/membership-messages.js';
import type { CoreState } from '../state.js';
import { hashTable } from './member-table.js';

/** Creates the digest of the configuration and the hash of the member table. */
export const createDigest = (state: CoreState): Required<Pick<Piggyback, 'digest' | 'table'>> => ({
  digest: {
    revision: state.configuration.revision,
    serving: state.phase !== 'starting',
  },
  table: hashTable(state.membership.buckets),
});
