/** All metrics of a gateway: its counters and histograms, and gauges of its state. */
import { processMarginMs } from '../requests/answer-delays.js';
import { partsMarginMs } from '../requests/parts-timing.js';
import { classLabel } from '../scheduling/class-rank.js';
import { requiredTiming } from '../authorization/key-admission.js';
import type { GatewayState } from '../state.js';
import { waitingForTokens } from '../quotas/take-token.js';
import { confirmedAt } from '../store/confirmation.js';
import { GaugeMetric, LabeledGaugeMetric, type Metric } from './metric-series.js';

const MS_PER_SECOND = 1_000;

const gauge = (name: string, help: string, read: () => number): GaugeMetric =>
  new GaugeMetric({ name: `crossroad_gateway_${name}`, help, labelNames: [] }, read);

const waitingByClass = ({ scheduling }: GatewayState): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  for (const queue of scheduling.queues.values()) {
    for (const { rank, size } of queue.sizes()) {
      const label = classLabel(rank);
      counts.set(label, (counts.get(label) ?? 0) + size);
    }
  }
  return counts;
};
/** Age of the key confirmation, in milliseconds; counted from the start of the process if there is none. */
const keyConfirmationAge = (state: GatewayState, at: number): number =>
  requiredTiming(state) === undefined
    ? 0
    : at - Math.max(state.startedAt, state.keyConfirmation.confirmedAt);

const leasedTokens = ({ quotas }: GatewayState): number =>
  [...quotas.owned.values()].reduce((sum, { bucket }) => sum + bucket.leased, 0);

/**
 * Lists the metrics of a gateway.
 *
 * @param now - milliseconds on the gateway's monotonic clock
 * @param residentBytes - resident memory of the process, in bytes
 */
export const listMetrics = (
  state: GatewayState,
  now: () => number,
  residentBytes: () => number,
): readonly Metric[] => [
  ...Object.values(state.counters),
  gauge('requests_active', 'Requests and subqueries in progress.', () => state.requests.size),
  gauge('attempts_active', 'Attempts that run at replicas.', () => state.attempts.size),
  new LabeledGaugeMetric(
    {
      name: 'crossroad_gateway_attempts_waiting',
      help: 'Attempts that wait at this feeder for room at replicas, by class (0 is the most urgent).',
      labelNames: ['class'],
    },
    () => waitingByClass(state),
  ),
  gauge('replicas_listed', 'Replicas that are known.', () => state.replicas.size),
  gauge(
    'requests_blocked',
    'Requests that are refused because replicas end under them.',
    () => state.crashes.histories.blockedCount,
  ),
  gauge('gateways_listed', 'Gateways that share budgets.', () => state.gateways),
  gauge(
    'answer_margin_seconds',
    'Time reserved for delays of this process before the objective of a gather; 0 until enough delays were measured.',
    () => (processMarginMs(state.answerDelays, '') ?? 0) / MS_PER_SECOND,
  ),
  gauge(
    'parts_margin_seconds',
    'Time before the answer of a gather is due at which its feeders send the parts that they have.',
    () => partsMarginMs(state.feederRoundTrips) / MS_PER_SECOND,
  ),
  gauge('ready', '1 while new callers are wanted.', () => Number(state.ready)),
  gauge('store_reachable', '1 while the store answers.', () => Number(state.store.reachable)),
  gauge(
    'store_era',
    'Latest era that an answer of the store has named; 0 for none.',
    () => state.store.era ?? 0,
  ),
  gauge('reading', '1 while this gateway reads the store itself.', () =>
    Number(state.reading.isReading),
  ),
  gauge(
    'quota_tokens_leased',
    'Tokens that other gateways hold, of the tenants that this gateway owns.',
    () => leasedTokens(state),
  ),
  gauge(
    'quota_tenants_over_limit',
    'Tenants owned by this gateway that exceed their quotas.',
    () => [...state.quotas.owned.values()].filter((quota) => quota.overSince !== undefined).length,
  ),
  gauge('quota_requests_waiting', 'Requests that wait for a token.', () => waitingForTokens(state)),
  gauge('followers', 'Gateways that it tells what it reads.', () => state.reading.followers.size),
  gauge(
    'configuration_version',
    'Version of the configuration in force; 0 before the first.',
    () => state.inForce?.configuration.version ?? 0,
  ),
  gauge(
    'configuration_age_seconds',
    'How long that version is in force.',
    () => (now() - (state.inForce?.since ?? now())) / MS_PER_SECOND,
  ),
  gauge(
    'store_confirmed_age_seconds',
    'How long ago it was last known that the store holds nothing newer, of the collection for which that is longest.',
    () => (now() - Math.max(state.startedAt, confirmedAt(state))) / MS_PER_SECOND,
  ),
  gauge(
    'key_confirmation_age_seconds',
    'How long ago it was last known that no removed API key is in force here; 0 where that need not be confirmed.',
    () => keyConfirmationAge(state, now()) / MS_PER_SECOND,
  ),
  gauge('resident_memory_bytes', 'Resident memory of the process.', residentBytes),
];
