/** The layout of all pages: head, navigation and content. */
import { html } from 'hono/html';
import type { Session } from '../session/sessions.js';
import type { Markup } from './markup.js';

/** The pages in the order of the navigation. */
const PAGES = [
  { path: '/table', title: 'Table' },
  { path: '/history', title: 'History' },
  { path: '/agreement', title: 'Agreement' },
  { path: '/in-force', title: 'In force' },
  { path: '/figures', title: 'Figures' },
] as const;

/** Path of a page in the navigation. */
export type PagePath = (typeof PAGES)[number]['path'];

/** The content of a page. */
export interface PageContent {
  readonly title: string;
  /** The node that serves the page. */
  readonly node: string;
  readonly session?: Session;
  readonly path?: PagePath;
  readonly body: Markup;
}

/**
 * Renders the hidden field with the session's form token, which protects against forged requests.
 */
export const renderFormToken = (session: Session): Markup =>
  html`<input type="hidden" name="form-token" value="${session.formToken}" />`;

const renderLink = (page: (typeof PAGES)[number], current: PagePath | undefined): Markup =>
  page.path === current
    ? html`<li><a href="${page.path}" aria-current="page">${page.title}</a></li>`
    : html`<li><a href="${page.path}">${page.title}</a></li>`;

const renderHeader = (session: Session, current: PagePath | undefined): Markup => html`
  <header class="top">
    <p class="brand">crossroad</p>
    <nav aria-label="Pages">
      <ul>
        ${PAGES.map((page) => renderLink(page, current))}
      </ul>
    </nav>
    <form method="post" action="/sign-out" class="who">
      ${renderFormToken(session)}
      <span>${session.identity.operator} of <b>${session.identity.partner}</b></span>
      <button class="quiet">Sign out</button>
    </form>
  </header>
`;

/** Renders a whole page. */
export const renderPage = (content: PageContent): Markup =>
  html`<!doctype html>
    <html lang="en">
      <head>
        <meta charset="utf-8" />
        <meta name="viewport" content="width=device-width, initial-scale=1" />
        <title>${content.title} · crossroad</title>
        <link rel="stylesheet" href="/assets/page.css" />
        <script src="/assets/page.js" defer></script>
      </head>
      <body>
        <a class="skip" href="#content">Skip to content</a>
        ${content.session === undefined ? '' : renderHeader(content.session, content.path)}
        <main id="content">
          <h1>${content.title}</h1>
          ${content.body}
        </main>
        <footer><p>Served by node ${content.node}</p></footer>
      </body>
    </html>`;
