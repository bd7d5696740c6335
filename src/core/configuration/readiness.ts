/** Readiness: a starting node may serve once it holds the newest revision known to it. */
import type { Effect } from '../effect.js';
import type { CoreState } from '../state.js';

/** True while a live serving peer is known; a starting node pulls from it before it reads the store. */
export const hasServingPeer = (state: CoreState): boolean => {
  for (const member of state.membership.members.values()) {
    const isLive = member.state === 'alive' || member.state === 'suspect';
    if (isLive && member.serving && member.identity.node !== state.self.node) {
      return true;
    }
  }
  return false;
};

const findNewestKnownRevision = (state: CoreState): number => {
  let newest = 0;
  for (const member of state.membership.members.values()) {
    if (member.state === 'alive' || member.state === 'suspect') {
      newest = Math.max(newest, member.revision);
    }
  }
  return newest;
};

const hasLearnedRevision = (state: CoreState): boolean => {
  const { configuration, membership } = state;
  return configuration.watch.seen || (membership.joined && configuration.servingPeerSeen);
};

/**
 * Starts serving when the node holds the newest revision that the store and its peers have
 * reported.
 */
export const serveIfReady = (state: CoreState): Effect[] => {
  const { configuration } = state;
  if (state.phase !== 'starting' || !hasLearnedRevision(state)) {
    return [];
  }
  if (
    configuration.olderStore !== undefined ||
    configuration.revision < findNewestKnownRevision(state)
  ) {
    return [];
  }
  state.phase = 'serving';
  return [
    {
      type: 'write-log',
      level: 'info',
      part: 'configuration',
      sentence: `revision ${configuration.revision} is in force; the node serves`,
    },
  ];
};
