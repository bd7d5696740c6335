/** Counters of the core, which the operator port exposes as metrics. */

/**
 * Descriptions of the counters, which only grow. The metrics reference is generated from this
 * table.
 */
export const COUNTER_DESCRIPTIONS = {
  queries_accepted: 'Queries that passed the early checks and were planned.',
  queries_answered: 'Queries answered with a result, whole or partial.',
  queries_not_run: 'Queries refused without any part of them having run.',
  queries_unknown: 'Queries that ended with an unknown outcome.',
  legs_needed: 'Shards that accepted queries had to reach.',
  attempts_sent: 'Attempts passed to feeders, including hedges and retries.',
  hedges_sent: 'Duplicate attempts sent while the first one was in progress.',
  retries_sent: 'Attempts sent after an earlier one of the same leg had ended.',
  attempts_cancelled: 'Attempts cancelled because their answer was no longer needed.',
  answers_late: 'Answers dropped because their query had ended.',
  answers_foreign: 'Answers dropped because they belonged to another request.',
  answers_doubled: 'Answers dropped because the shard had already contributed.',
  answers_wrong_snapshot: 'Answers dropped because they came from another snapshot.',
  answers_malformed: 'Answers dropped because they could not be read.',
  restarts_whole:
    'Queries restarted from the beginning because their snapshot was no longer served.',
  replica_sheds: 'Attempts that a replica refused because it was overloaded.',
  replica_failures: 'Attempts that failed at a replica or on the connection to it.',
  claims_granted: 'Idempotency keys claimed for their first run.',
  claims_refused: 'Claims of idempotency keys refused.',
  grants_given: 'Shares of limits granted to nodes.',
  grants_lapsed: 'Grants that expired before they were renewed.',
  members_suspected: 'Members suspected because they did not answer a probe.',
  members_declared_dead: 'Members declared dead because their suspicion was not refuted in time.',
  suspicions_refuted: 'Rumours that this node was dead or suspected, which it refuted.',
  member_tables_pulled: 'Exchanges of member tables started by this node.',
  pauses_noticed: 'Process pauses that this node detected.',
  replicas_noted_leaving: 'Signs that a replica is leaving, from the replica or from peers.',
  configuration_pushed: 'Configuration messages pushed to peers.',
  configuration_pulled: 'Configuration messages sent because a peer requested them.',
  configuration_older_refused: 'Objects refused because a newer revision is in force.',
  store_failures: 'Requests to the platform store that failed or timed out.',
  edits_accepted: 'Edits of operators that were written to the store.',
  edits_refused: 'Edits refused because of findings.',
  edits_conflicting: 'Edits refused because a row had been changed meanwhile.',
  edits_expired: 'Edits refused because they were older than the history.',
  edits_unknown: 'Edits whose outcome remained unknown until their timeout.',
  edit_retries: 'Repetitions of edits after a failure or a refused compare-and-set.',
} as const;

/** The name of a counter. */
export type CounterName = keyof typeof COUNTER_DESCRIPTIONS;

/** The names of all counters. */
export const COUNTER_NAMES = Object.keys(COUNTER_DESCRIPTIONS) as readonly CounterName[];

/** The counters of one core. */
export type Counters = Record<CounterName, number>;

/** Creates counters that are all 0. */
export const createCounters = (): Counters =>
  Object.fromEntries(COUNTER_NAMES.map((name) => [name, 0])) as Counters;
