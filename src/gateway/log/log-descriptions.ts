/** Descriptions of all log events; the log reference is generated from them. */
import type { StateChange, Decision } from './log-event.js';

/** Describes each decision about a request. */
export const DECISION_DESCRIPTIONS: Readonly<Record<Decision['event'], string>> = {
  'request-admitted': 'The request matches a route; one attempt is sent for each leg.',
  'attempt-sent': 'A replica was chosen and the request queued for one of its connections.',
  'attempt-ended':
    'The replica answered, reported that it has not run the request, or the attempt failed.',
  'attempt-crashed': 'The replica of an interrupted attempt has crashed.',
  'legs-held':
    'The request may have crashed replicas: it runs at one replica at a time until one answers.',
  'attempt-waiting':
    'The replicas of a shard have no room: the attempt waits at this feeder, behind those of more urgent classes.',
  'attempt-dropped':
    'An attempt that waited for room can no longer be answered before its deadline and was not started.',
  'legs-dropped':
    'A feeder dropped the attempts of some shards, which waited for room until it was too late; they are requested nowhere else.',
  'room-lacking':
    'Feeders report that too many shards have no room for a request of this class before its deadline; it is refused at once unless `isSent` is true.',
  'budget-denied': 'A further attempt was not sent: the retry budget of the service is exhausted.',
  'leg-paused':
    'All replicas refused the leg or could not be reached; it is retried after a pause.',
  'subquery-sent': 'A subquery for the parts of some shards was sent to a feeder.',
  'subquery-answered': 'A feeder has sent parts; nothing follows the final ones.',
  'legs-unsent':
    'A feeder sent the legs of some shards to no replica; they are requested from the next feeder.',
  'subquery-failed':
    'A feeder failed or did not answer in time; its shards are requested elsewhere.',
  'subquery-admitted': 'At a feeder: another gateway requests the parts of some shards.',
  'parts-sent': 'At a feeder: the final parts were sent to the coordinator.',
  'subquery-cancelled':
    'At a feeder: the coordinator cancelled the rest of the subquery or closed its connection.',
  'leg-failed': 'A leg ended without an answer.',
  'request-answered': 'The final answer to the caller.',
  'caller-left': 'The caller closed its connection before the answer; the attempts are aborted.',
};

/** Describes each change of state. */
export const STATE_CHANGE_DESCRIPTIONS: Readonly<Record<StateChange['event'], string>> = {
  started: 'The process has opened its ports.',
  ready: 'The readiness reported to the load balancer has changed.',
  'stood-still':
    'The process was paused for `forMs`; its machine was suspended for `suspendedMs` of that time. What the gateway knows may be out of date.',
  'went-on':
    'After a process pause, the state of the gateway was confirmed, or nothing could confirm it in time.',
  stopping:
    'The process was requested to stop. Requests that it can answer in time are finished, others are refused.',
  ended: 'The process ends.',
  'exchange-cut-off':
    'The end of the process closed a connection before a request had arrived completely, or before its answer had been sent. At most 20 are logged.',
  'request-ignored':
    'A caller sent a request behind the answer that closed its connection. It did not run and is not answered. At most ten lines a second are logged.',
  'settings-reloaded': 'Changed settings were applied.',
  'settings-refused': 'Changed settings are invalid; the last valid ones stay in force.',
  'configuration-in-force':
    'A version of the configuration came into force, at most `unconfirmedMs` after it was published.',
  'keys-confirmed':
    'The known API keys are recent enough again to admit requests with keys: no removal that the store acknowledged more than `ageMs` ago is missing.',
  'keys-unconfirmed':
    'API keys may have been removed without this gateway knowing it: the last confirmation is too old, and requests with keys are refused.',
  'object-unreadable':
    'This gateway cannot read the content of an object in the store. A replica gets no requests until it has written its entry again; for other objects, the last readable content stays in force.',
  'request-unreadable':
    'A caller sent something that is not an HTTP request; it was refused with `status`. At most ten lines a second are logged for each problem.',
  'answer-unreadable':
    'A replica sent bytes that are no answer, more than an answer may have, or an answer that was given up to save memory. At most ten lines a second are logged for each problem.',
  'store-era-changed':
    'The store was restored from a backup: its revisions go back, and all collections are read again.',
  'store-returned':
    'All collections have been read since the store was restored from a backup; objects that it lost or brought back are unconfirmed.',
  'list-dropped':
    'A list of a collection was discarded: the gateway has meanwhile seen a later revision.',
  'news-dropped':
    'An update from a reader was discarded: the gateway already has a later revision.',
  'store-lost': 'A probe of the store was not answered in time.',
  'store-regained': 'The store answers again; reading continues where it stopped.',
  'store-call-failed': 'A list or watch failed and is repeated after a pause.',
  'replicas-listed':
    'The replicas were listed for the first time; their changes are logged from now on.',
  'replica-changed': 'The store lists a replica, marks it as draining, or no longer lists it.',
  'replicas-changed': 'The same for many replicas at once, counted by state and service.',
  'zone-evacuated': 'The replicas of a zone get no more requests, or get them again.',
  'replica-ejected': 'A replica failed and is used only as a last resort for a while.',
  'replica-crashed':
    'Connections to a replica broke while it ran requests, and it refuses new connections.',
  'request-suspected':
    'A request has crashed replicas in several rounds, and no replica has answered it; it is blocked after `blockingRounds` rounds.',
  'request-blocked':
    'A request is refused at every gateway because it crashes replicas; after `forMs` it runs once as a trial at one replica.',
  'request-cleared': 'A replica has answered a request that was suspected or blocked.',
  'peer-suspected': 'Another gateway failed to answer; it gets no subqueries until it answers.',
  'peer-trusted': 'A suspected gateway answers promptly again.',
  'reader-followed': 'This gateway follows another one that reads the store.',
  'reader-status':
    'A followed reader reports whether it is up to date with the store; logged when that changes.',
  'reading-changed':
    'This gateway starts to read the store itself, or leaves that to the readers that it follows.',
  'gateways-counted': 'The number of gateways that share replicas and budgets has changed.',
  'tenant-over-limit':
    'The owner of a tenant has no token left: the tenant exceeds its quota. Logged once until it is within it again.',
  'tenant-within-limit': 'The owner has refused no request of the tenant for 10 s.',
  'retry-budget-used':
    'Attempts beyond the first that took from retry budgets since the last such line, and those denied; at most one line a second.',
  'lines-dropped':
    'Log lines were left out: the rate limit was exceeded, or standard output could not accept them.',
};
