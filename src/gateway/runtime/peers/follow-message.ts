/** The message by which a gateway follows a reader: revisions and eras apart, as earlier builds know only the first. */
import type { FollowReader } from '../../effect.js';
import type { KnownPositions } from '../../readers/reader-update.js';
import type { FollowMessage } from './peer-message.js';

/** Creates the message. */
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

/** The positions that a message tells. */
export const positionsOf = ({ revisions, eras = {} }: FollowMessage): KnownPositions => {
  const known = Object.entries(revisions).map(([name, revision]) => {
    const era = Object.entries(eras).find(([other]) => other === name)?.[1];
    return [name, { era, revision }] as const;
  });
  return Object.fromEntries(known);
};
