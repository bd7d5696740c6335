/** Routes to sign in and out. */
import { Hono } from 'hono';
import { NODE_STARTING_MESSAGE, verifyOperator } from '../authenticate-bearer.js';
import {
  clearSessionToken,
  readSessionToken,
  writeSessionToken,
} from '../session/session-cookie.js';
import {
  respondWithSignIn,
  readForm,
  requireFormToken,
  requireSession,
  type PageEnvironment,
  type PageServices,
} from './page-environment.js';

const SEE_OTHER = 303;

/** Serves `/sign-in` and `/sign-out`. */
export const createSessionRoutes = (services: PageServices): Hono<PageEnvironment> => {
  const app = new Hono<PageEnvironment>();

  app.get('/sign-in', (call) =>
    services.sessions.read(readSessionToken(call)) === undefined
      ? respondWithSignIn(services, call, undefined, 200)
      : call.redirect('/table', SEE_OTHER),
  );

  app.post('/sign-in', ...readForm(services), (call) => {
    const secret = (call.get('fields').get('key') ?? '').trim();
    const verdict = verifyOperator(services.context, secret === '' ? undefined : secret);
    if (verdict.type === 'starting') {
      return respondWithSignIn(services, call, NODE_STARTING_MESSAGE, 503);
    }
    if (verdict.type === 'refused') {
      services.logRefusal(verdict);
      return respondWithSignIn(services, call, 'This is not an operator key.', 401);
    }
    writeSessionToken(call, services.sessions.open(verdict.key));
    return call.redirect('/table', SEE_OTHER);
  });

  app.post(
    '/sign-out',
    ...readForm(services),
    requireSession(services),
    requireFormToken(services),
    (call) => {
      clearSessionToken(call);
      return call.redirect('/sign-in', SEE_OTHER);
    },
  );

  return app;
};
