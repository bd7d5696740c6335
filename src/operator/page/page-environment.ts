/** Shared by the routes of the web page: session and form middleware, and page responses. */
import type { Context, MiddlewareHandler } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { html } from 'hono/html';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import type { RefusalLog } from '../../auth/refusal-log.js';
import { NODE_STARTING_MESSAGE } from '../authenticate-bearer.js';
import type { OperatorContext } from '../operator-context.js';
import { isSameOrigin } from '../session/same-origin.js';
import { readSessionToken } from '../session/session-cookie.js';
import type { Session, Sessions } from '../session/sessions.js';
import type { SubmitEdit } from '../submit-edit.js';
import type { Markup } from './markup.js';
import { renderPage, type PagePath } from './page-frame.js';
import { renderSignIn } from './sign-in-page.js';

/** Largest form, in bytes. */
export const FORM_BODY_LIMIT = 1024 * 1024;

/** Hono variables of the page routes. */
export interface PageEnvironment {
  Variables: { session: Session; fields: URLSearchParams };
}

/** Dependencies of the page routes. */
export interface PageServices {
  readonly context: OperatorContext;
  readonly sessions: Sessions;
  readonly submitEdit: SubmitEdit;
  readonly logRefusal: RefusalLog;
}

/** The Hono context of a page route. */
export type PageCall = Context<PageEnvironment>;

/** The response of a page route. */
export type PageResponse = Response | Promise<Response>;

/** Shown when the node has too many edits in progress. */
export const BUSY_MESSAGE =
  'Too many edits are in progress at this node; nothing was changed. Go back and send again.';

/** The content of a page response. */
export interface PageOptions {
  readonly title: string;
  readonly body: Markup;
  readonly path?: PagePath;
  readonly status?: ContentfulStatusCode;
}

/** Responds with a whole page. */
export const respondWithPage = (
  services: PageServices,
  call: Context,
  session: Session | undefined,
  answer: PageOptions,
): PageResponse => {
  const page = renderPage({
    title: answer.title,
    node: services.context.state().self.node,
    body: answer.body,
    ...(session === undefined ? {} : { session }),
    ...(answer.path === undefined ? {} : { path: answer.path }),
  });
  return call.html(page, answer.status ?? 200);
};

/** Responds with the sign-in form. */
export const respondWithSignIn = (
  services: PageServices,
  call: Context,
  problem: string | undefined,
  status: ContentfulStatusCode,
): PageResponse =>
  respondWithPage(services, call, undefined, {
    title: 'Sign in',
    body: renderSignIn(problem),
    status,
  });

/** Middleware that requires a valid session; other requests receive the sign-in form. */
export const requireSession =
  (services: PageServices): MiddlewareHandler<PageEnvironment> =>
  async (call, next) => {
    const session = services.sessions.read(readSessionToken(call));
    if (session === undefined && services.context.state().phase === 'starting') {
      return respondWithSignIn(services, call, NODE_STARTING_MESSAGE, 503);
    }
    if (session === undefined) {
      const problem =
        call.req.method === 'POST'
          ? 'Nothing was changed: the session has expired. Sign in, go back and send again.'
          : undefined;
      return respondWithSignIn(services, call, problem, 401);
    }
    call.set('session', session);
    await next();
    return;
  };

const respondWithFormError = (
  services: PageServices,
  call: Context,
  status: ContentfulStatusCode,
  problem: string,
): PageResponse =>
  respondWithPage(services, call, undefined, {
    title: 'Refused',
    body: html`<p class="notice error" role="alert">${problem}</p>
      <p><a class="button" href="/table">To the table</a></p>`,
    status,
  });

const isForm = (call: Context): boolean =>
  /^application\/x-www-form-urlencoded\s*(;|$)/i.test(call.req.header('content-type') ?? '');

/**
 * Middleware that reads a posted form into `fields` after checks of its size, origin and content
 * type.
 */
export const readForm = (
  services: PageServices,
): [MiddlewareHandler<PageEnvironment>, MiddlewareHandler<PageEnvironment>] => [
  bodyLimit({
    maxSize: FORM_BODY_LIMIT,
    onError: (call) => respondWithFormError(services, call, 413, 'The form is too large.'),
  }),
  async (call, next) => {
    if (!isSameOrigin(call)) {
      return respondWithFormError(services, call, 403, 'The form came from another site.');
    }
    if (!isForm(call)) {
      return respondWithFormError(
        services,
        call,
        415,
        'The body must be application/x-www-form-urlencoded.',
      );
    }
    call.set('fields', new URLSearchParams(await call.req.text()));
    await next();
    return;
  },
];

/** Middleware that requires the form token of the session's operator. */
export const requireFormToken =
  (services: PageServices): MiddlewareHandler<PageEnvironment> =>
  async (call, next) => {
    const token = call.get('fields').get('form-token') ?? '';
    if (!services.sessions.verifyFormToken(call.get('session'), token)) {
      return respondWithFormError(
        services,
        call,
        403,
        'Nothing was changed: the form was not made for this session. Reload the page.',
      );
    }
    await next();
    return;
  };
