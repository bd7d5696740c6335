/** A minimal browser for the operator application, with cookies, form fields and the origin. */
import type { Hono } from 'hono';

/** A response that the browser received. */
export interface BrowsedPage {
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
}

const HOST = 'localhost';

const unescape = (text: string): string =>
  text
    .replaceAll('&quot;', '"')
    .replaceAll('&#39;', "'")
    .replaceAll('&lt;', '<')
    .replaceAll('&gt;', '>')
    .replaceAll('&amp;', '&');

const readAttribute = (tag: string, name: string): string | undefined => {
  const found = new RegExp(`\\s${name}="([^"]*)"`).exec(tag)?.[1];
  return found === undefined ? undefined : unescape(found);
};

const readInputs = (form: string): [string, string][] =>
  [...form.matchAll(/<input\s[^>]*>/g)]
    .map(([tag]) => tag)
    .filter((tag) => !/type="(checkbox|radio)"/.test(tag))
    .map((tag) => [readAttribute(tag, 'name') ?? '', readAttribute(tag, 'value') ?? '']);

const readSelects = (form: string): [string, string][] =>
  [...form.matchAll(/<select\s[^>]*>[\s\S]*?<\/select>/g)].map(([tag]) => [
    readAttribute(tag, 'name') ?? '',
    unescape(/<option value="([^"]*)"\s+selected/.exec(tag)?.[1] ?? ''),
  ]);

/** Creates a browser that keeps the session cookie. */
export const createBrowser = (app: Hono) => {
  let cookie = '';

  const request = async (path: string, init: RequestInit): Promise<BrowsedPage> => {
    const headers = { ...(init.headers as Record<string, string>), cookie };
    const response = await app.request(`http://${HOST}${path}`, { ...init, headers });
    const set = response.headers.get('set-cookie');
    if (set !== null) {
      cookie = set.split(';')[0] ?? '';
    }
    return {
      status: response.status,
      headers: response.headers,
      text: await response.text(),
    };
  };

  return {
    cookie: (): string => cookie,
    get: (path: string) => request(path, {}),
    /** Posts a form from a page of this host; `headers` replaces the browser's `Origin` header. */
    post: (path: string, fields: Record<string, string>, headers?: Record<string, string>) =>
      request(path, {
        method: 'POST',
        headers: {
          'content-type': 'application/x-www-form-urlencoded',
          ...(headers ?? { origin: `http://${HOST}` }),
        },
        body: new URLSearchParams(fields).toString(),
      }),
    /** Reads the fields of the first form whose tag contains `mark`, as a browser submits them. */
    fieldsOf: (page: BrowsedPage, mark: string): Record<string, string> => {
      const forms = page.text.match(/<form[\s\S]*?<\/form>/g) ?? [];
      const form = forms.find((each) => each.slice(0, each.indexOf('>')).includes(mark)) ?? '';
      return Object.fromEntries([...readInputs(form), ...readSelects(form)]);
    },
  };
};
