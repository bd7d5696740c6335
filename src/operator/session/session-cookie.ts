/** The cookie that contains the session token. */
import type { Context } from 'hono';
import { deleteCookie, getCookie, setCookie } from 'hono/cookie';
import { SESSION_MS } from './sessions.js';

/** Name of the cookie. */
const SESSION_COOKIE = 'crossroad_session';

const MS_PER_SECOND = 1_000;

const isSecure = (call: Context): boolean =>
  call.req.url.startsWith('https:') || call.req.header('x-forwarded-proto') === 'https';

const cookieOptions = (call: Context) =>
  ({ path: '/', httpOnly: true, sameSite: 'Strict', secure: isSecure(call) }) as const;

/** Reads the session token from the request's cookie. */
export const readSessionToken = (call: Context): string | undefined =>
  getCookie(call, SESSION_COOKIE);

/** Sets the cookie with the session token. */
export const writeSessionToken = (call: Context, token: string): void => {
  setCookie(call, SESSION_COOKIE, token, {
    ...cookieOptions(call),
    maxAge: SESSION_MS / MS_PER_SECOND,
  });
};

/** Deletes the cookie. */
export const clearSessionToken = (call: Context): void => {
  deleteCookie(call, SESSION_COOKIE, cookieOptions(call));
};
