/** Compares the version of the configuration at a reader with the own one. */
import type { GatewayEffect } from '../effect.js';
import { isRestoreRecent } from '../returns/restore-state.js';
import type { GatewayState } from '../state.js';
import type { Source } from './reading-state.js';
import { knownPositions } from './publish-to-followers.js';

/**
 * A reader and its followers may have different versions of the configuration at the same position of the store: the store
 * has lost one when it returned, and those that have started since do not know it. The newer one is asked for, or offered;
 * this is looked at for as long as a return is remembered.
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
  if (isKnownThere || !isRestoreRecent(state.returns, at)) {
    return [];
  }
  source.offeredVersion = own;
  return [{ type: 'follow-reader', peer, positions: knownPositions(state), configuration }];
};
