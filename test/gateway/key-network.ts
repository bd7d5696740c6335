/** A network of gateways whose configuration has tenants, and what they know about a revoked key. */
import { areKeysConfirmed } from '../../src/gateway/authorization/key-admission.js';
import type { GatewayConfiguration } from '../../src/gateway/model/route.js';
import { ReaderNetwork, type VirtualNode } from './reader-network.js';
import { routeTo } from './virtual-gateway.js';
import { configurationOf, replicaOf } from './virtual-store.js';

/** Time limit of the users' deployments, in milliseconds. */
export const REVOCATION_MS = 5_000;

/** Bound on changes of the configuration, in milliseconds. */
const BOUND_MS = 5_000;

export const KEY = 'key-digest';

/** A configuration with one route and one tenant, which has the key unless it is revoked. */
export const keyedConfiguration = (version: number, isRevoked = false): GatewayConfiguration => ({
  ...configurationOf(version, [routeTo({ type: 'service', service: 's0' })]),
  tenants: [{ name: 'acme', keyDigests: isRevoked ? [] : [KEY] }],
});

/** Whether the configuration in force at a gateway has the key. */
export const knowsKey = ({ state }: VirtualNode): boolean =>
  (state.inForce?.configuration.tenants ?? []).some(({ keyDigests }) => keyDigests.includes(KEY));

/** Whether a gateway would admit a request with the key now. */
export const admitsKey = (node: VirtualNode, { now }: ReaderNetwork): boolean =>
  node.alive && now >= node.pausedUntil && knowsKey(node) && areKeysConfirmed(node.state, now);

/** Age of a gateway's confirmation, in milliseconds. */
export const confirmationAge = ({ state }: VirtualNode, { now }: ReaderNetwork): number =>
  now - state.keyConfirmation.confirmedAt;

/** A network of `gateways` in turn in each of `zones`; none is started. */
export const createKeyNetwork = (
  gateways: number,
  zones: readonly string[],
  keyRevocationMs: number | undefined = REVOCATION_MS,
): ReaderNetwork => {
  const network = new ReaderNetwork();
  network.store.put('configuration', 'main', keyedConfiguration(1));
  network.store.put('replicas', 'r-1', replicaOf('r-1'));
  for (let index = 0; index < gateways; index += 1) {
    const zone = zones[index % zones.length] ?? '';
    network.add(`${zone}-${index}`, zone, 1, BOUND_MS, keyRevocationMs);
  }
  return network;
};

/** The reader of a zone, and one of the followers there. */
export const rolesIn = (
  network: ReaderNetwork,
  zone: string,
): { readonly reader: VirtualNode; readonly follower: VirtualNode } => {
  const nodes = network.nodes.filter(({ settings }) => settings.zone === zone);
  const reader = nodes.find(({ state }) => state.reading.isReading);
  const follower = nodes.find(({ state }) => !state.reading.isReading);
  if (reader === undefined || follower === undefined) {
    throw new Error(`zone ${zone} has no reader or no follower`);
  }
  return { reader, follower };
};
