/** Time limits and sizes of claims. */

/** Maximum age of a request's key, in milliseconds since the key was created. */
export const KEY_LIFETIME_MS = 600_000;

/** Maximum time by which a key may be ahead of a node's wall clock, in milliseconds. */
export const KEY_LEAD_MS = 2_000;

/** How long keepers keep the claims of a period after its end, in milliseconds. */
export const CLAIM_RETENTION_MS = KEY_LIFETIME_MS + 60_000;

/** Interval at which a node removes expired claims, in milliseconds. */
export const CLAIM_EXPIRY_INTERVAL_MS = 60_000;

/** Maximum number of claims that a keeper keeps; it refuses new claims beyond it. */
export const MAX_KEPT_CLAIMS = 250_000;

/** Interval at which a claim is requested again from keepers without a reply, in milliseconds. */
export const CLAIM_RESEND_MS = 150;

/** Maximum number of repeated requests of a claim. */
export const CLAIM_RESENDS = 3;
