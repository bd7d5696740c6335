/** Survey: pings the nodes not known to hold a revision, on behalf of a client that awaits it. */
import type { Effect } from '../effect.js';
import type { Member } from '../membership/member.js';
import { pingMember } from '../membership/probes.js';
import type { CoreState } from '../state.js';
import { SURVEY_INTERVAL_MS, SURVEY_TIMEOUT_MS, SURVEY_PEERS } from './bounds.js';

const SURVEY_TIMER = { purpose: 'configuration-survey', subject: '' } as const;

const isLive = (member: Member): boolean => member.state === 'alive' || member.state === 'suspect';

const revisionOf = (state: CoreState, member: Member): number =>
  member.identity.node === state.self.node ? state.configuration.revision : member.revision;

/** Lists the live members that are not known to hold `revision`. */
export const listMembersWithoutRevision = (state: CoreState, revision: number): Member[] =>
  [...state.membership.members.values()].filter(
    (member) => isLive(member) && revisionOf(state, member) < revision,
  );

const pingSample = (state: CoreState, lacking: readonly Member[], at: number): Effect[] => {
  const others = lacking.filter((member) => member.identity.node !== state.self.node);
  const start = state.random.nextBelow(Math.max(1, others.length));
  const rotated = [...others.slice(start), ...others.slice(0, start)];
  return rotated.slice(0, SURVEY_PEERS).map((member) => pingMember(state, member, at));
};

/** Runs one round of the survey; ends it when all nodes hold the revision or at the timeout. */
export const continueSurvey = (state: CoreState, at: number): Effect[] => {
  const { configuration } = state;
  const { survey } = configuration;
  const lacking = survey === undefined ? [] : listMembersWithoutRevision(state, survey.revision);
  if (survey === undefined || lacking.length === 0 || at >= survey.until) {
    configuration.survey = undefined;
    return [];
  }
  return [
    ...pingSample(state, lacking, at),
    { type: 'set-timer', key: SURVEY_TIMER, at: at + SURVEY_INTERVAL_MS },
  ];
};

/** Starts a survey for `revision`, or extends the current one. */
export const beginSurvey = (state: CoreState, revision: number, at: number): Effect[] => {
  const { configuration } = state;
  const until = at + SURVEY_TIMEOUT_MS;
  const targetRevision = Math.max(revision, configuration.survey?.revision ?? 0);
  configuration.survey = { revision: targetRevision, until };
  return continueSurvey(state, at);
};
