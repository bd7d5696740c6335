/** This gateway's usable share of the retry budgets. */
import { feederPlan, isListed, shareOf } from '../peers/service-share.js';
import type { GatewayState } from '../state.js';
import { ShareHistory, type UsableShare } from './share-history.js';
import type { ShareInputs } from './share-records.js';

const isSame = (known: ShareInputs | undefined, inputs: ShareInputs): boolean =>
  known?.plan === inputs.plan &&
  known.gateways === inputs.gateways &&
  known.configuration === inputs.configuration &&
  known.isListed === inputs.isListed;

/** Unless it belongs to the first start of the whole tier, a process had no share before it started. */
const createHistory = ({ settings, startedAt }: GatewayState, share: number): ShareHistory => {
  const since = settings.firstStart ? Number.NEGATIVE_INFINITY : startedAt;
  return new ShareHistory(settings.bounds.retryWindowMs, share, since);
};

/** Records the present share of a service; kept only once the list of gateways contains this one. */
const recordShare = (state: GatewayState, service: string, at: number): ShareHistory => {
  const { histories } = state.budgetShares;
  const share = shareOf(state, service);
  const history = histories.get(service) ?? createHistory(state, share);
  if (isListed(state)) {
    histories.set(service, history);
  }
  history.record(share, at);
  return history;
};

/**
 * Records this gateway's shares of all services if the gateways, the feeders or the configuration have changed, so that it is
 * known since when they are held. The share of a service that no configuration named before was held by nobody.
 */
export const recordShares = (state: GatewayState, at: number): void => {
  const { inForce, gateways, budgetShares } = state;
  if (inForce === undefined) {
    return;
  }
  const { configuration } = inForce;
  const inputs = { plan: feederPlan(state), gateways, configuration, isListed: isListed(state) };
  if (isSame(budgetShares.inputs, inputs)) {
    return;
  }
  budgetShares.inputs = inputs;
  for (const service of configuration.services.keys()) {
    recordShare(state, service, at);
  }
};

/** What this gateway may use of the retry budget of a service in the window that ends now. */
export const usableShareOf = (state: GatewayState, service: string, at: number): UsableShare =>
  recordShare(state, service, at).usable(at);
