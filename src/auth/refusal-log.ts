/** Logs refused keys without the secret, and never faster than once a second. */
import type { VerifiedKey } from './verify-key.js';

/** Shortest time between two lines, in milliseconds. */
const LINE_INTERVAL_MS = 1_000;

/** Why a key was refused. */
export type KeyRefusal = 'missing' | 'unknown' | 'wrong-role' | 'wrong-partner';

/** Where a request with a refused key came from. */
export interface RefusedRequest {
  readonly refusal: KeyRefusal;
  /** Remote address, as far as it is known. */
  readonly address?: string;
  /** The key when it was verified but may not do this; carries no secret. */
  readonly key?: VerifiedKey;
}

/** Takes refused requests and writes a line now and then. */
export type RefusalLog = (refused: RefusedRequest) => void;

const describeRefusedRequest = (refused: RefusedRequest): string => {
  const holder = refused.key === undefined ? '' : ` of ${refused.key.partner}/${refused.key.name}`;
  const origin = refused.address === undefined ? '' : ` from ${refused.address}`;
  return `Refused a key${holder}${origin}: ${refused.refusal}.`;
};

/** Creates a refusal log that writes through `warn`; `now` is in milliseconds. */
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
