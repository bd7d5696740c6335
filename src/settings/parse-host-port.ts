/** Parses and formats addresses of the form `127.0.0.1:8080` or `[::1]:8080`. */
import { isIP } from 'node:net';
import { type Either, Left, Right } from 'purify-ts';
import type { HostPort } from './node-settings.js';

/** Highest TCP or UDP port. */
const MAX_PORT = 65_535;

const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/;

/** Description of the address format, for findings and help texts. */
export const HOST_PORT_FORMAT = 'IP address and port, e.g. 127.0.0.1:8080 or [::1]:8080';

/** Parses an address; host names are refused. Port 0 is accepted. */
export const parseHostPort = (text: string): Either<string, HostPort> => {
  const parts = ADDRESS_PATTERN.exec(text);
  if (parts === null) {
    return Left('is not an address');
  }
  const host = parts[1] ?? parts[2] ?? '';
  const port = Number(parts[3]);
  if (isIP(host) === 0) {
    return Left('its host is not an IP address');
  }
  if (port > MAX_PORT) {
    return Left(`its port is above ${MAX_PORT}`);
  }
  return Right({ host, port });
};

/** Characters of a host name. */
const NAME_PATTERN = /^[\w.-]+$/;

/** Whether a host is an IP address, or a name that may stand in a URL: `999.1.1.1` is neither. */
const isHost = (host: string): boolean =>
  isIP(host) !== 0 || (NAME_PATTERN.test(host) && URL.canParse(`http://${host}`));

/** Whether a connection can be opened to an address: sockets and HTTP clients throw for other hosts and ports. */
export const isConnectable = ({ host, port }: HostPort): boolean =>
  Number.isInteger(port) && port > 0 && port <= MAX_PORT && isHost(host);

/** Formats an address for a URL or a settings file. */
export const formatHostPort = (address: HostPort): string =>
  isIP(address.host) === 6
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
