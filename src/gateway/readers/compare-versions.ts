/** Compares the configuration version of a reader with this gateway's, and transfers the newer configuration. */
import type { GatewayEffect } from '../effect.js';
import { isRestoreRecent } from '../returns/restore-state.js';
import type { GatewayState } from '../state.js';
import type { Source } from './reading-state.js';
import { knownPositions } from './publish-to-followers.js';

/**
 * Requests the reader's configuration where it is newer, or offers this gateway's. A reader and its followers may have
 * different versions at the same store position: a restored store has lost a version, and gateways started since then
 * never received it. A configuration is offered only for as long as the restore counts as recent.
 */
export const compareVersions = (
  state: GatewayState,
  source: Source,
  version: number | undefined,
  at: number,
): GatewayEffect[] => {
  const { inForce } = state;
  if (version === undefined || inForce === undefined) {
    return [];
  }
  const { configuration } = inForce;
  const { version: own } = configuration;
  const { peer } = source;
  if (version > own) {
    const positions = knownPositions(state, 'configuration');
    return [{ type: 'follow-reader', peer, positions }];
  }
  const isKnownThere = version === own || source.offeredVersion === own;
  if (isKnownThere || !isRestoreRecent(state.storeRestores, at)) {
    return [];
  }
  source.offeredVersion = own;
  return [{ type: 'follow-reader', peer, positions: knownPositions(state), configuration }];
};
