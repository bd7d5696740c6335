/** Latency, jitter, loss and duplication of messages on the virtual network. */

/** Conditions between two zones, or inside one. */
export interface LinkConditions {
  /** Minimum one-way latency, in milliseconds. */
  readonly latencyMs: number;
  /** Maximum random delay added to the latency, in milliseconds, uniform; reorders datagrams. */
  readonly jitterMs: number;
  /** Share of datagrams lost, 0 to 1. */
  readonly lossShare: number;
  /** Share of datagrams delivered twice, 0 to 1. */
  readonly duplicateShare: number;
}

/** Conditions of the whole network. */
export interface NetworkConditions {
  readonly sameZone: LinkConditions;
  readonly betweenZones: LinkConditions;
  /** Conditions between particular zones, by `zonePairKey`. */
  readonly pairs?: ReadonlyMap<string, LinkConditions>;
  /** Time until the ends of a link detect that their peer is unreachable, in milliseconds. */
  readonly linkTimeoutMs: number;
}

/** Conditions of a healthy network: about 1 ms between zones, as in both deployments. */
export const HEALTHY_NETWORK: NetworkConditions = {
  sameZone: { latencyMs: 0.2, jitterMs: 0.1, lossShare: 0, duplicateShare: 0 },
  betweenZones: { latencyMs: 1, jitterMs: 0.2, lossShare: 0, duplicateShare: 0 },
  linkTimeoutMs: 3_000,
};

/** Key of a pair of zones, independent of their order. */
export const zonePairKey = (a: string, b: string): string => (a < b ? `${a}|${b}` : `${b}|${a}`);

/** Returns the conditions between two zones. */
export const findConditions = (
  conditions: NetworkConditions,
  from: string,
  to: string,
): LinkConditions => {
  if (from === to) {
    return conditions.sameZone;
  }
  return conditions.pairs?.get(zonePairKey(from, to)) ?? conditions.betweenZones;
};
