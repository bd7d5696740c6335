/** Authentication of operators by a bearer token. */
import type { MiddlewareHandler } from 'hono';
import { readBearerSecret } from '../auth/bearer-secret.js';
import type { KeyRefusal, RefusalLog } from '../auth/refusal-log.js';
import { verifyKey, type VerifiedKey } from '../auth/verify-key.js';
import type { OperatorContext } from './operator-context.js';
import type { OperatorEnvironment } from './operator-identity.js';
import { respondWithProblem } from './problem.js';

/** Message of a node that is starting. */
export const NODE_STARTING_MESSAGE =
  'The node has not read the configuration in force yet; try again.';

const KEY_MISSING_MESSAGE = 'Present an operator key as a bearer token.';
const KEY_UNKNOWN_MESSAGE = 'No key in force has this secret.';

/** The result of the verification of a secret. */
export type OperatorVerification =
  | { readonly type: 'operator'; readonly key: VerifiedKey }
  /** The node has not loaded the keys yet and cannot verify the secret. */
  | { readonly type: 'starting' }
  | { readonly type: 'refused'; readonly refusal: KeyRefusal; readonly key?: VerifiedKey };

/** Verifies that a secret belongs to an operator key in force. */
export const verifyOperator = (
  context: OperatorContext,
  secret: string | undefined,
): OperatorVerification => {
  if (context.state().phase === 'starting') {
    return { type: 'starting' };
  }
  if (secret === undefined) {
    return { type: 'refused', refusal: 'missing' };
  }
  const key = verifyKey(context.state().configuration.inForce.keys, secret);
  if (key === undefined) {
    return { type: 'refused', refusal: 'unknown' };
  }
  return key.role === 'operator'
    ? { type: 'operator', key }
    : { type: 'refused', refusal: 'wrong-role', key };
};

/** Creates the middleware, which sets `identity` or responds with status 401, 403 or 503. */
export const authenticateBearer =
  (context: OperatorContext, logRefusal: RefusalLog): MiddlewareHandler<OperatorEnvironment> =>
  async (call, next) => {
    const verdict = verifyOperator(context, readBearerSecret(call.req.header('authorization')));
    if (verdict.type === 'operator') {
      call.set('identity', { partner: verdict.key.partner, operator: verdict.key.name });
      await next();
      return;
    }
    if (verdict.type === 'starting') {
      return respondWithProblem(call, 503, NODE_STARTING_MESSAGE);
    }
    logRefusal(verdict);
    if (verdict.refusal === 'wrong-role') {
      return respondWithProblem(call, 403, 'This is no key of an operator.');
    }
    call.header('WWW-Authenticate', 'Bearer');
    return respondWithProblem(
      call,
      401,
      verdict.refusal === 'missing' ? KEY_MISSING_MESSAGE : KEY_UNKNOWN_MESSAGE,
    );
  };
