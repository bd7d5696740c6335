/** Continues a query that waits for the claim of its idempotency key. */
import type { Effect } from '../effect.js';
import type { RequestId } from '../identifiers.js';
import type { ClaimVerdict } from '../once/claim.js';
import type { CoreState } from '../state.js';
import { refuseActiveQuery } from './finish-query.js';
import type { RefusalReason } from './query-request.js';
import { scatterQuery } from './scatter-query.js';

const REFUSAL_OF_VERDICT: Readonly<Record<Exclude<ClaimVerdict, 'granted'>, RefusalReason>> = {
  'already-claimed': 'already-claimed',
  'owner-not-ready': 'not-ready',
  'key-invalid': 'key-invalid',
};

/** Runs `request` if its claim was granted and refuses it otherwise; does nothing if it has ended. */
export const handleClaimVerdict = (
  state: CoreState,
  request: RequestId,
  verdict: ClaimVerdict,
  at: number,
): Effect[] => {
  const active = state.query.queries.get(request);
  if (active === undefined || active.phase !== 'claiming') {
    return [];
  }
  const effects: Effect[] = [];
  if (verdict === 'granted') {
    active.phase = 'running';
    scatterQuery(state, active, at, effects);
  } else {
    refuseActiveQuery(state, active, REFUSAL_OF_VERDICT[verdict], at, effects);
  }
  return effects;
};
