/** Parsing of the `Authorization` header. */

const BEARER_PATTERN = /^Bearer +([A-Za-z0-9._~+/=-]+) *$/i;

/** Returns the secret of a bearer token, or undefined if the header is absent or malformed. */
export const readBearerSecret = (header: string | undefined): string | undefined =>
  header === undefined ? undefined : BEARER_PATTERN.exec(header)?.[1];
