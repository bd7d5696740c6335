/** Limits on what callers may send. */
import type { IncomingMessage } from 'node:http';
import type { CallerLimits } from '../model/route.js';

/**
 * The parser refuses larger headers, whatever the configuration allows; equal to the limit on bodies before the first
 * configuration. The limit of the parser cannot be changed for an open connection, so it is far above what
 * configurations allow.
 */
export const PARSER_HEADER_BYTES = 1_048_576;

/** Headers up to this size are accepted even if the configuration allows less; far above what clients send. */
export const TOLERATED_HEADER_BYTES = 65_536;

/** Limits in force until the first configuration. */
export const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: PARSER_HEADER_BYTES,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
};

/** Size of a request's target and headers without separators. */
export const headerBytes = ({ url = '', rawHeaders }: IncomingMessage): number =>
  rawHeaders.reduce((sum, { length }) => sum + length, url.length);
