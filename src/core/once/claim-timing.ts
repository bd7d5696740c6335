/** Bounds and defaults of claims. */

/** Oldest key that a request may carry, in milliseconds since the key was made. */
export const KEY_LIFETIME_MS = 600_000;

/** Most by which a key may lie ahead of a node's wall clock, in milliseconds. */
export const KEY_LEAD_MS = 2_000;

/** How long keepers remember the claims of a period after its end, in milliseconds. */
export const CLAIM_RETENTION_MS = KEY_LIFETIME_MS + 60_000;

/** How often a node forgets the claims of past periods, in milliseconds. */
export const CLAIM_EXPIRY_INTERVAL_MS = 60_000;

/** Most claims that a keeper remembers; it refuses new ones when full. */
export const MAX_KEPT_CLAIMS = 250_000;

/** When keepers that have not granted a claim are asked again, in milliseconds. */
export const CLAIM_RESEND_MS = 150;

/** How often they are asked again. */
export const CLAIM_RESENDS = 3;
