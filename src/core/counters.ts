/** Counters of the core, which the operator port exposes as metrics. */

/**
 * Descriptions of the counters, which only grow. The metrics reference is generated from this
 * table.
 */
export const COUNTER_DESCRIPTIONS = {
  queries_accepted: 'Queries that passed the early checks and were planned.',
  queries_answered: 'Queries answered with a result, whole or partial.',
  queries_not_run: 'Queries refused with proof that no part of them ran.',
  queries_unknown: 'Queries that ended with a fate that is not known.',
  legs_needed: 'Shards that accepted queries had to reach.',
  attempts_sent: 'Attempts handed to feeders, with hedges and retries.',
  hedges_sent: 'Duplicate attempts sent while the first one was still out.',
  retries_sent: 'Attempts sent after an earlier one of the same leg had ended.',
  attempts_cancelled: 'Attempts cancelled because they were no longer wanted.',
  answers_late: 'Answers dropped because their query had ended.',
  answers_foreign: 'Answers dropped because they belonged to another request.',
  answers_doubled: 'Answers dropped because the shard had already contributed.',
  answers_wrong_snapshot: 'Answers dropped because they came from another snapshot.',
  answers_malformed: 'Answers dropped because they could not be read.',
  restarts_whole: 'Queries started again whole because their snapshot had gone.',
  replica_sheds: 'Attempts that a replica refused because it was overloaded.',
  replica_failures: 'Attempts that failed at a replica or on the way to it.',
  claims_granted: 'Idempotency keys claimed for their first run.',
  claims_refused: 'Claims of idempotency keys refused.',
  grants_given: 'Slices of limits given to nodes.',
  grants_lapsed: 'Slices of limits that ran out before they were renewed.',
  members_suspected: 'Members suspected because they did not answer a probe.',
  members_declared_dead: 'Members declared dead after a suspicion ran out.',
  suspicions_refuted: 'Rumours of its own death or suspicion that this node refuted.',
  member_tables_pulled: 'Exchanges of member tables begun by this node.',
  pauses_noticed: 'Times this node found that it had not run for a while.',
  replicas_noted_leaving: 'Signs that a back end is leaving, its own and those of peers.',
  configuration_pushed: 'Configuration messages pushed to peers.',
  configuration_pulled: 'Configuration messages sent because a peer asked.',
  configuration_older_refused: 'Objects refused because a newer revision is in force.',
  store_failures: 'Requests to the platform store that failed or timed out.',
  edits_accepted: 'Edits of operators that stand in the store.',
  edits_refused: 'Edits refused because of findings.',
  edits_conflicting: 'Edits refused because a row had been changed since.',
  edits_expired: 'Edits refused because they are older than the history reaches.',
  edits_unknown: 'Edits whose outcome was not known in time.',
  edit_retries: 'Times an edit was tried again after a failure or a refused compare-and-set.',
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
