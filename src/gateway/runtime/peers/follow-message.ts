/**
 * Converts between known positions and the message with which a gateway follows a reader. Revisions and eras are
 * separate fields because earlier builds know only revisions.
 */
import type { FollowReader } from '../../effect.js';
import type { KnownPositions } from '../../readers/reader-update.js';
import type { FollowMessage } from './peer-message.js';

/** Creates the message for a reader. */
export const followMessage = ({ positions, configuration }: FollowReader): FollowMessage => {
  const known = Object.entries(positions);
  const eras = known.flatMap(([name, { era }]) =>
    era === undefined ? [] : [[name, era] as const],
  );
  return {
    type: 'follow',
    revisions: Object.fromEntries(known.map(([name, { revision }]) => [name, revision])),
    ...(eras.length > 0 && { eras: Object.fromEntries(eras) }),
    ...(configuration !== undefined && { configuration }),
  };
};

/** Returns the positions given in a message. */
export const positionsOf = ({ revisions, eras = {} }: FollowMessage): KnownPositions => {
  const known = Object.entries(revisions).map(([name, revision]) => {
    const era = Object.entries(eras).find(([other]) => other === name)?.[1];
    return [name, { era, revision }] as const;
  });
  return Object.fromEntries(known);
};
