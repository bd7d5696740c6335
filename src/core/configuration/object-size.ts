/** Estimates the encoded size of an object without encoding it. */
import type { StoreContent } from '../../catalog/store-object.js';

const FRAME_BYTES = 200;
const ROW_BYTES = 350;
const RECORD_BYTES = 250;
const REPLICA_BYTES = 220;
const SHARD_BYTES = 60;
const KEY_BYTES = 150;
const KEEPER_BYTES = 60;
const HOME_BYTES = 200;

const estimateItems = (content: StoreContent): number => {
  switch (content.type) {
    case 'sheet':
      return content.sheet.rows.length * ROW_BYTES + content.sheet.history.length * RECORD_BYTES;
    case 'status':
      return content.status.replicas.length * REPLICA_BYTES;
    case 'layout':
      return content.layout.snapshots.reduce(
        (sum, snapshot) => sum + snapshot.shards.length * SHARD_BYTES,
        0,
      );
    case 'keys':
      return (content.keys.keys.length + (content.keys.history?.length ?? 0)) * KEY_BYTES;
    case 'keepers':
      return (
        content.roster.keepers.length * KEEPER_BYTES +
        (content.roster.homes?.length ?? 0) * HOME_BYTES
      );
    case 'agreement':
      return (content.agreement.history?.length ?? 0) * RECORD_BYTES;
  }
};

/** Estimates the size of an object in a link message, in bytes. */
export const estimateObjectBytes = (content: StoreContent): number =>
  FRAME_BYTES + estimateItems(content);
