/** Origins of replica URLs, cached for each address object. */
import { formatHostPort } from '../../settings/parse-host-port.js';

/** Address on which a replica listens. */
interface ReplicaAddress {
  readonly host: string;
  readonly port: number;
}

const origins = new WeakMap<ReplicaAddress, string>();

/** Returns the origin of `address`, e.g. `http://127.0.0.1:8080`. */
export const originOf = (address: ReplicaAddress): string => {
  const known = origins.get(address);
  if (known !== undefined) {
    return known;
  }
  const origin = `http://${formatHostPort(address)}`;
  origins.set(address, origin);
  return origin;
};
