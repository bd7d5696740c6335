/** The HTTP application of the operator port: health, metrics, JSON endpoints and the web page. */
import { Hono } from 'hono';
import { createRefusalLog } from '../auth/refusal-log.js';
import { createApiRoutes } from './api-routes.js';
import { createHealthRoutes } from './health-routes.js';
import type { OperatorContext } from './operator-context.js';
import { createPageRoutes } from './page/create-page-routes.js';
import { respondWithProblem } from './problem.js';
import { createSecurityHeaders } from './security-headers.js';
import { createSessions } from './session/sessions.js';
import { createSubmitEdit } from './submit-edit.js';

export type { OperatorContext, OperatorLog } from './operator-context.js';

const describeError = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/** Creates the application of the operator port. */
export const createOperatorApp = (context: OperatorContext): Hono => {
  const app = new Hono();
  const submitEdit = createSubmitEdit(context);
  const logRefusal = createRefusalLog(
    (sentence) => {
      context.log.warn(sentence);
    },
    () => context.now(),
  );
  app.use(...createSecurityHeaders());
  app.route('/', createHealthRoutes(context));
  app.route('/', createApiRoutes(context, submitEdit, logRefusal));
  app.route(
    '/',
    createPageRoutes({ context, sessions: createSessions(context), submitEdit, logRefusal }),
  );
  app.notFound((call) => respondWithProblem(call, 404, 'There is nothing at this path.'));
  app.onError((error, call) => {
    context.log.warn(`A request failed: ${describeError(error)}.`);
    return respondWithProblem(call, 500, 'The request failed; see the log of the node.');
  });
  return app;
};
