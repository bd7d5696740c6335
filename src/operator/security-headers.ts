/**
 * Response headers that prevent browsers from running foreign scripts, framing pages or caching
 * them.
 */
import type { MiddlewareHandler } from 'hono';
import { secureHeaders } from 'hono/secure-headers';

const SELF = ["'self'"];
const NONE = ["'none'"];

const disableCaching: MiddlewareHandler = async (call, next) => {
  await next();
  if (!call.res.headers.has('Cache-Control')) {
    call.res.headers.set('Cache-Control', 'no-store');
  }
};

/** Creates the middleware: scripts and styles only from this host, no frames, no cache. */
export const createSecurityHeaders = (): MiddlewareHandler[] => [
  disableCaching,
  secureHeaders({
    contentSecurityPolicy: {
      defaultSrc: NONE,
      scriptSrc: SELF,
      styleSrc: SELF,
      connectSrc: SELF,
      imgSrc: SELF,
      formAction: SELF,
      frameAncestors: NONE,
      baseUri: NONE,
    },
    xFrameOptions: 'DENY',
    referrerPolicy: 'same-origin',
    // TLS is terminated in front of the node, so strict transport security is configured there.
    strictTransportSecurity: false,
  }),
];
