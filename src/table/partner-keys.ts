/** Keys of a partner's callers and operators; only hashes of their secrets are stored. */
import type { PartnerId } from '../core/identifiers.js';
import type { EditRecord } from './sheet.js';

/** The port that a key gives access to: queries of callers, or edits of operators. */
export type KeyRole = 'caller' | 'operator';

/** A key as it is stored. */
export interface KeyRecord {
  /** Public name of the key; also names the operator who holds it. */
  readonly name: string;
  readonly role: KeyRole;
  /** SHA-256 of the secret, in lower-case hexadecimal. */
  readonly sha256: string;
}

/** The content of the store object `keys/{partner}`. */
export interface PartnerKeys {
  readonly partner: PartnerId;
  readonly keys: readonly KeyRecord[];
  /** Accepted edits, newest last; at most `HISTORY_LIMIT` of them. */
  readonly history?: readonly EditRecord[];
}
