/** Routes of the style sheet and the script of the web page. */
import { createHash } from 'node:crypto';
import { Hono, type Context } from 'hono';
import { PAGE_SCRIPT } from './page-script.js';
import { PAGE_STYLE } from './page-style.js';

const STATUS_EMPTY = 204;
const STATUS_UNCHANGED = 304;

const createAsset = (content: string, type: string): ((call: Context) => Response) => {
  const tag = `"${createHash('sha256').update(content).digest('base64url')}"`;
  return (call) => {
    const headers = { 'Content-Type': type, ETag: tag, 'Cache-Control': 'no-cache' };
    return call.req.header('if-none-match') === tag
      ? call.body(null, STATUS_UNCHANGED, headers)
      : call.body(content, 200, headers);
  };
};

/** Serves `/assets/page.css` and `/assets/page.js`; no key is needed for them. */
export const createAssetRoutes = (): Hono => {
  const app = new Hono();
  app.get('/assets/page.css', createAsset(PAGE_STYLE, 'text/css; charset=utf-8'));
  app.get('/assets/page.js', createAsset(PAGE_SCRIPT, 'text/javascript; charset=utf-8'));
  app.get('/favicon.ico', (call) => call.body(null, STATUS_EMPTY));
  return app;
};
