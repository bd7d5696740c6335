/** The schema of a node's settings: its checks, their messages and the texts of the reference. */
import { isIP } from 'node:net';
import { z } from 'zod';
import { LOG_LEVELS } from './log-level.js';
import type { HostPort } from './node-settings.js';
import { HOST_PORT_FORMAT, parseHostPort } from './parse-host-port.js';

/** Minimum length of the shared secret of the nodes, in characters. */
const MIN_SECRET_LENGTH = 16;

/** Maximum length of the name of a node, zone or region, in characters. */
const MAX_NAME_LENGTH = 64;

const NAME_FORMAT = `1 to ${MAX_NAME_LENGTH} letters, digits, ".", "_" or "-"`;

const UNSPECIFIED_HOSTS = ['0.0.0.0', '::'];

const name = (): z.ZodType<string> =>
  z
    .string(`is missing or not text; allowed: ${NAME_FORMAT}`)
    .regex(/^[A-Za-z0-9._-]{1,64}$/, `is not a name; allowed: ${NAME_FORMAT}`);

const hostPort = (): z.ZodType<HostPort, string> =>
  z
    .string(`is missing or not text; allowed: ${HOST_PORT_FORMAT}`)
    .transform((text, context): HostPort => {
      const parsed = parseHostPort(text);
      if (parsed.isLeft()) {
        context.addIssue(`${String(parsed.extract())}; allowed: ${HOST_PORT_FORMAT}`);
        return z.NEVER;
      }
      return parsed.unsafeCoerce();
    });

const peerAddress = (): z.ZodType<HostPort, string> =>
  hostPort().refine(
    (address) => !UNSPECIFIED_HOSTS.includes(address.host),
    'is not an address to which other nodes can connect; allowed: an IP address other than 0.0.0.0 and ::',
  );

const seedAddress = (): z.ZodType<HostPort, string> =>
  hostPort().refine((address) => address.port !== 0, 'its port is 0; allowed: 1 to 65535');

const isPlatformUrl = (text: string): boolean => {
  if (!URL.canParse(text)) {
    return false;
  }
  const url = new URL(text);
  const host = url.hostname.replace(/^\[|\]$/g, '');
  return url.protocol === 'http:' && isIP(host) !== 0 && url.pathname === '/';
};

const PLATFORM_FORMAT = 'http://, an IP address and a port, e.g. http://127.0.0.1:7000';

/** The fields of a settings file; an unknown field is an error. */
export const NODE_SETTINGS_SCHEMA = z.strictObject({
  node: name().describe('Name of the node, unique over all nodes, e.g. `bole-1`.'),
  zone: name().describe('Zone in which the node runs.'),
  region: name().describe('Region to which the zone belongs.'),
  caller: hostPort().describe(
    'Address for callers (HTTP): an IP address and a port; for port 0, the kernel chooses one.',
  ),
  peer: peerAddress().describe(
    'Address to which other nodes connect, over TCP and UDP on the same port.',
  ),
  operator: hostPort().describe('Address for operators, health checks and metrics (HTTP).'),
  platform: z
    .string(`is missing or not text; allowed: ${PLATFORM_FORMAT}`)
    .refine(isPlatformUrl, `is not a base URL; allowed: ${PLATFORM_FORMAT}`)
    .describe("Base URL of the platform's object API, e.g. `http://127.0.0.1:7000`."),
  seeds: z
    .array(seedAddress(), `is not a list; allowed: a list of ${HOST_PORT_FORMAT}`)
    .default([])
    .describe("Peers to contact at start, in addition to the platform's machine list."),
  peerSecret: z
    .string(`is missing or not text; allowed: at least ${MIN_SECRET_LENGTH} characters`)
    .min(MIN_SECRET_LENGTH, `is too short; allowed: at least ${MIN_SECRET_LENGTH} characters`)
    .describe(
      'Secret that all nodes share, at least 16 characters. It authenticates nodes to each other and signs the sessions of the web page.',
    ),
  logLevel: z
    .enum(LOG_LEVELS, `is not a level; allowed: ${LOG_LEVELS.join(', ')}`)
    .default('info')
    .describe('Least severe level that is logged.'),
  seed: z
    .int32('is not a whole number; allowed: a 32-bit integer')
    .optional()
    .describe("Seed of the core's random generator, a 32-bit integer; chosen at random if absent."),
  record: z
    .string('is not text; allowed: a file name')
    .min(1)
    .optional()
    .describe("File to which the core's events are recorded for a replay."),
});

/** Names of all fields, in the order of the reference. */
export const NODE_SETTINGS_FIELDS = Object.keys(
  NODE_SETTINGS_SCHEMA.shape,
) as readonly (keyof typeof NODE_SETTINGS_SCHEMA.shape)[];
