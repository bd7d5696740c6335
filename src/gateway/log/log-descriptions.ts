/** What each line of the log means; the reference is made from it. */
import type { StateChange, Decision } from './log-event.js';

/** What each decision means. */
export const DECISION_DESCRIPTIONS: Readonly<Record<Decision['event'], string>> = {
  'request-admitted': 'A route was found; one attempt is sent for each leg.',
  'attempt-sent': 'A replica was chosen and the request handed to its connections.',
  'attempt-ended': 'The replica answered, said that it has not run the request, or failed.',
  'attempt-crashed': 'The replica of an attempt that broke off has ended.',
  'legs-held':
    'Replicas may have ended under the request: it is at one at a time until one has answered.',
  'budget-denied': 'A further attempt was not sent: the retry budget of the service is used up.',
  'leg-paused': 'All replicas refused or could not be reached; they are tried again after a pause.',
  'subquery-sent': 'A feeder was asked for the parts of some shards.',
  'subquery-answered': 'A feeder has sent parts; after the final ones nothing follows.',
  'legs-unsent': 'A feeder sent some shards to no replica; the next feeder is asked for them.',
  'subquery-failed': 'A feeder failed or was silent; its shards are asked for elsewhere.',
  'subquery-admitted': 'At a feeder: another gateway asks for the parts of some shards.',
  'parts-sent': 'At a feeder: the last parts were sent to the gateway that asked.',
  'subquery-cancelled': 'At a feeder: the gateway that asked no longer wants the rest, or is gone.',
  'leg-failed': 'A leg ended without an answer.',
  'request-answered': 'The final answer.',
  'caller-left': 'The caller closed its connection; the attempts are aborted.',
};

/** What each change of belief means. */
export const STATE_CHANGE_DESCRIPTIONS: Readonly<Record<StateChange['event'], string>> = {
  started: 'The process has opened its ports.',
  ready: 'The load balancer is told whether new callers are wanted.',
  'stood-still':
    'The process did nothing for `forMs`, for `suspendedMs` of it since its machine was suspended: what it knows may be out of date.',
  'went-on':
    'After it stood still, what the gateway knows was confirmed, or nothing could confirm it.',
  stopping: 'The process was told to stop; requests in progress are finished.',
  ended: 'The process ends.',
  'settings-reloaded': 'Changed settings were taken.',
  'settings-refused': 'Changed settings are wrong; the last good ones stay in force.',
  'configuration-in-force':
    'A version of the configuration came into force; it is late by `unconfirmedMs` at most.',
  'object-unreadable':
    'An object of the store has content that this gateway cannot read: a replica gets no requests until it has written its entry again; what was known of other objects stays in force.',
  'request-unreadable':
    'A caller sent something that is no request and was refused with `status`; at most ten lines a second for each problem.',
  'store-era-changed':
    'The store has returned from a copy: its revisions go back, and all collections are read anew.',
  'store-returned':
    'All collections have been read since the store has returned from a copy; what it lacks or brings back is kept apart.',
  'list-dropped': 'A list of the store was dropped: more is known than it held when it began.',
  'news-dropped': 'What a reader told was dropped: more is known.',
  'store-lost': 'A probe of the store was not answered in time.',
  'store-regained': 'The store answers again; what is read from it is read on.',
  'store-call-failed': 'A list or watch failed and is repeated after a pause.',
  'replicas-listed': 'The replicas were listed for the first time; changes are logged from now on.',
  'replica-changed': 'The store lists a replica, says that it drains, or lists it no more.',
  'replicas-changed': 'The same of many replicas at once, counted by state and service.',
  'zone-evacuated': 'The replicas of a zone get no more requests, or get them again.',
  'replica-ejected': 'A replica failed and is tried only as a last resort for a while.',
  'replica-crashed':
    'Connections to a replica broke while it ran requests, and it takes no new ones.',
  'request-suspected':
    'Replicas have ended under a request in several rounds, and none has answered it; `blockingRounds` block it.',
  'request-blocked':
    'A request is refused at every gateway, since replicas end under it; after `forMs` it is tried at one.',
  'request-cleared': 'A replica has answered a request that was suspected or blocked.',
  'peer-suspected': 'Another gateway failed to answer and is passed over until it does.',
  'peer-trusted': 'A gateway that was passed over answers promptly again.',
  'reader-followed': 'Another gateway was asked to tell what it reads from the store.',
  'reader-status':
    'A gateway that is followed says whether it knows all that the store holds; told when that changes.',
  'reading-changed':
    'This gateway begins to read the store itself, or leaves that to the gateways that it follows.',
  'gateways-counted': 'The number of gateways that share replicas and budgets has changed.',
  'lines-dropped': 'Lines were left out: more than the bound, or nobody read them.',
};
