/**
 * The reducer over all events. `step` takes one event, updates the state in place and returns the
 * effects in the order in which the driver must carry them out.
 *
 * Each event is dispatched to the slices that handle it, in a fixed order. There is one ts-pattern
 * match per event and none per leg; see the slopes in docs/design/01-architecture.md.
 */
import { match, P } from 'ts-pattern';
import { reduceAdmission } from './admission/reducer.js';
import { reduceConfiguration } from './configuration/reducer.js';
import { reduceEditing } from './editing/reducer.js';
import type { Effect } from './effect.js';
import type { Event, LinkMessageArrived, TimerFired } from './event.js';
import { reduceKeepers } from './keepers/reducer.js';
import { reduceLifecycle } from './lifecycle/reducer.js';
import { reduceMembership } from './membership/reducer.js';
import { reduceOnce } from './once/reducer.js';
import { reduceQuery } from './query/reducer.js';
import { reduceReplica } from './replica/reducer.js';
import { flushResults } from './replica/report-result.js';
import type { CoreState } from './state.js';

type Slice = (state: CoreState, event: Event) => Effect[];

const ALL_SLICES: readonly Slice[] = [
  reduceMembership,
  reduceConfiguration,
  reduceEditing,
  reduceKeepers,
  reduceAdmission,
  reduceOnce,
  reduceReplica,
  reduceQuery,
  reduceLifecycle,
];

const runSlices = (slices: readonly Slice[], state: CoreState, event: Event): Effect[] =>
  slices.flatMap((slice) => slice(state, event));

/** A change of the configuration in force may settle an edit whose write was not answered. */
const reduceConfigurationMessage: Slice = (state, event) =>
  runSlices([reduceConfiguration, reduceEditing], state, event);

const sliceOfTimer = (event: TimerFired): Slice =>
  match(event.key.purpose)
    .with(P.union('query-deadline', 'query-hedge', 'query-retry'), () => reduceQuery)
    .with(P.union('replica-dispatch', 'attempt-deadline', 'results-due'), () => reduceReplica)
    .with(P.union('admission-refresh', 'admission-expiry'), () => reduceAdmission)
    .with('keepers-roster', () => reduceKeepers)
    .with(P.union('once-resend', 'once-expiry'), () => reduceOnce)
    .with(
      P.union(
        'membership-probe',
        'membership-probe-timeout',
        'membership-suspicion',
        'membership-gossip',
        'membership-join',
      ),
      () => reduceMembership,
    )
    .with(
      P.union(
        'configuration-exchange',
        'configuration-read',
        'configuration-machines',
        'configuration-survey',
      ),
      () => reduceConfiguration,
    )
    .with(P.union('editing-retry', 'editing-deadline'), () => reduceEditing)
    .with(P.union('lifecycle-stop', 'housekeeping'), () => reduceLifecycle)
    .exhaustive();

const sliceOfMessage = (event: LinkMessageArrived): Slice =>
  match(event.message.type)
    .with(P.union('leg-batch', 'leg-cancel'), () => reduceReplica)
    .with('leg-results', () => reduceQuery)
    .with(P.union('configuration-push', 'configuration-page'), () => reduceConfigurationMessage)
    .with(P.union('configuration-pull', 'store-answered'), () => reduceConfiguration)
    .with(P.union('membership-pull', 'membership-page'), () => reduceMembership)
    .with(
      P.union('grant-request', 'grant-return', 'grant', 'lease-request', 'lease-vote'),
      () => reduceAdmission,
    )
    .with(P.union('claim-request', 'claim-reply', 'claim-release'), () => reduceOnce)
    .exhaustive();

const dispatch = (state: CoreState, event: Event): Effect[] =>
  match(event)
    .with({ type: 'timer-fired' }, (timer) => sliceOfTimer(timer)(state, timer))
    .with({ type: 'link-message-arrived' }, (message) => sliceOfMessage(message)(state, message))
    .with({ type: P.union('query-arrived', 'caller-left') }, (call) => reduceQuery(state, call))
    .with(
      {
        type: P.union(
          'object-read',
          'object-written',
          'object-write-refused',
          'object-request-failed',
        ),
      },
      (answer) => runSlices([reduceEditing, reduceConfiguration], state, answer),
    )
    .with({ type: 'edit-requested' }, (edit) => reduceEditing(state, edit))
    .with({ type: 'attempts-ended' }, (ended) => reduceReplica(state, ended))
    .with({ type: 'datagram-arrived' }, (datagram) =>
      runSlices([reduceMembership, reduceConfiguration], state, datagram),
    )
    .with(
      {
        type: P.union(
          'started',
          'stop-requested',
          'link-lost',
          'store-changed',
          'store-failed',
          'machines-read',
          'revision-awaited',
        ),
      },
      (event) => runSlices(ALL_SLICES, state, event),
    )
    .exhaustive();

/** Returns the slice of events that occur for each query or leg; these bypass the match. */
const sliceOfFrequentEvent = (event: Event): Slice | undefined => {
  switch (event.type) {
    case 'attempts-ended':
      return reduceReplica;
    case 'query-arrived':
      return reduceQuery;
    case 'link-message-arrived':
      return event.message.type === 'leg-results' ? reduceQuery : undefined;
    default:
      return undefined;
  }
};

/**
 * Handles one event: updates `state` in place and returns the effects to execute, in order. Queries
 * and ends of legs bypass the match, which would cost as much as the rest of handling such an end.
 */
export const step = (state: CoreState, event: Event): Effect[] => {
  const slice = sliceOfFrequentEvent(event) ?? dispatch;
  const effects = slice(state, event);
  flushResults(state, event.at, effects);
  return effects;
};
