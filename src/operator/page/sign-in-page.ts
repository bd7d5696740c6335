/** The sign-in page. */
import { html } from 'hono/html';
import type { Markup } from './markup.js';

/** Renders the sign-in form; `problem` says why the last key was refused. */
export const renderSignIn = (problem: string | undefined): Markup => html`
  ${problem === undefined ? '' : html`<p class="notice error" role="alert">${problem}</p>`}
  <form method="post" action="/sign-in" class="card narrow">
    <label for="key">Operator key</label>
    <input
      id="key"
      name="key"
      type="password"
      autocomplete="current-password"
      required
      autofocus
      maxlength="256"
    />
    <p class="hint">The key that your partner organisation gave you; nodes store only its hash.</p>
    <button class="main">Sign in</button>
  </form>
`;
