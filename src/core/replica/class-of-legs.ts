/** Derives the class of a query's legs from the configuration in force. */
import type { LegContext } from '../../protocol/leg-messages.js';
import { routeRowKey } from '../configuration/state.js';
import type { CoreState } from '../state.js';
import type { LegClass } from './leg-class.js';

/** Share of a partner missing from the agreement, and weight of a row that is not in force. */
const DEFAULT_SHARE = 0.01;
const DEFAULT_WEIGHT = 1;

const deriveClass = (state: CoreState, context: LegContext, row: string): LegClass => {
  const { agreement, rows } = state.configuration.inForce;
  const { partner } = context;
  const agreedShare = agreement?.shares.find((entry) => entry.partner === partner)?.share;
  const defaultShare = agreement === undefined ? 1 : DEFAULT_SHARE;
  return {
    partner,
    share: Math.max(DEFAULT_SHARE, agreedShare ?? defaultShare),
    row,
    weight: rows.get(row)?.weight ?? DEFAULT_WEIGHT,
  };
};

/** Returns the class of the legs of one query. */
export const classOfLegs = (state: CoreState, context: LegContext): LegClass => {
  const { classCache } = state.replica;
  if (classCache.inForce !== state.configuration.inForce) {
    classCache.inForce = state.configuration.inForce;
    classCache.classes.clear();
  }
  const row = routeRowKey(context.partner, context.route, context.kind);
  const known = classCache.classes.get(row);
  if (known !== undefined) {
    return known;
  }
  const derived = deriveClass(state, context, row);
  classCache.classes.set(row, derived);
  return derived;
};
