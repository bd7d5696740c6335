/** Logs refused keys, without their secrets and at most once a second. */
import type { VerifiedKey } from './verify-key.js';

/** Minimum time between two log lines, in milliseconds. */
const LINE_INTERVAL_MS = 1_000;

/** Why a key was refused. */
export type KeyRefusal = 'missing' | 'unknown' | 'wrong-role' | 'wrong-partner';

/** A request whose key was refused. */
export interface RefusedRequest {
  readonly refusal: KeyRefusal;
  /** Remote address, if known. */
  readonly address?: string;
  /** The key, if it is valid but does not permit the request; contains no secret. */
  readonly key?: VerifiedKey;
}

/** Logs a refused request, unless a line was written within the last second. */
export type RefusalLog = (refused: RefusedRequest) => void;

const describeRefusedRequest = (refused: RefusedRequest): string => {
  const holder = refused.key === undefined ? '' : ` of ${refused.key.partner}/${refused.key.name}`;
  const origin = refused.address === undefined ? '' : ` from ${refused.address}`;
  return `Refused a key${holder}${origin}: ${refused.refusal}.`;
};

/** Creates a refusal log that writes to `warn`; `now` returns milliseconds. */
export const createRefusalLog = (
  warn: (sentence: string) => void,
  now: () => number,
): RefusalLog => {
  let lastLineAt = Number.NEGATIVE_INFINITY;
  let suppressed = 0;
  return (refused) => {
    if (now() - lastLineAt < LINE_INTERVAL_MS) {
      suppressed += 1;
      return;
    }
    const others = suppressed === 0 ? '' : ` ${String(suppressed)} more were not logged.`;
    lastLineAt = now();
    suppressed = 0;
    warn(`${describeRefusedRequest(refused)}${others}`);
  };
};
