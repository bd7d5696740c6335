/** Keys of the deployments for demos and tests only, because their secrets are public. */
import { createHash } from 'node:crypto';
import type { PartnerId } from '../core/identifiers.js';
import type { KeyRole, PartnerKeys } from '../table/partner-keys.js';

/** Peer secret of the nodes of a demo; never use it in production. */
export const DEMO_PEER_SECRET = 'demo-peer-secret-not-for-production';

/** Returns the secret of a partner's demo key, e.g. `demo-ensemble-caller`. */
export const demoSecret = (partner: PartnerId, role: KeyRole): string => `demo-${partner}-${role}`;

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

/** Returns a partner's demo keys: one caller key and one operator key. */
export const demoKeys = (partner: PartnerId): PartnerKeys => ({
  partner,
  keys: (['caller', 'operator'] as const).map((role) => ({
    name: `demo-${role}`,
    role,
    sha256: sha256(demoSecret(partner, role)),
  })),
});
