import { describe, expect, it } from 'vitest';
import { createKey } from '../../src/auth/create-key.js';
import { identifier, type EditId } from '../../src/core/identifiers.js';
import { demoSecret } from '../../src/deployments/demo-keys.js';
import { createOperatorApp } from '../../src/operator/create-operator-app.js';
import { FORM_BODY_LIMIT } from '../../src/operator/page/page-environment.js';
import { PAGE_ROWS } from '../../src/operator/page/table-query.js';
import { SESSION_MS } from '../../src/operator/session/sessions.js';
import { EDIT_OUTCOME_STATUS } from '../../src/operator-protocol/edit-outcome-body.js';
import type { EditOutcome } from '../../src/table/edit.js';
import { createRow } from '../table/rows.js';
import {
  createOperatorFixture,
  ENSEMBLE,
  putContents,
  sheetOf,
  TAWE,
  twoPartners,
  type OperatorFixture,
} from './operator-fixture.js';
import { createBrowser } from './page-browser.js';

const createSite = () => {
  const fixture = createOperatorFixture();
  putContents(fixture, twoPartners());
  return { fixture, ...createBrowser(createOperatorApp(fixture.context)) };
};

const createSignedIn = async (partner = ENSEMBLE) => {
  const site = createSite();
  await site.post('/sign-in', { key: demoSecret(partner, 'operator') });
  return site;
};

const TABLE_FORM = 'method="post" action="/table';
const WEIGHT = 'rows.0.weight';

/** Opens the table, changes the first row's weight and sends the form. */
const sendWeight = async (
  site: Awaited<ReturnType<typeof createSignedIn>>,
  weight: string,
  changes: Record<string, string> = {},
) => {
  const fields = site.fieldsOf(await site.get('/table'), TABLE_FORM);
  return site.post('/table', { ...fields, [WEIGHT]: weight, reason: 'season opens', ...changes });
};

const CONFLICT_ROW = createRow({ route: 'season-roster', kind: 'page', weight: 9 });

const answerConflict = (fixture: OperatorFixture): void => {
  fixture.answerEdit = (edit) => ({
    type: 'conflict',
    edit: edit.edit,
    conflicts: [
      {
        row: 'season-roster/page',
        current: { row: CONFLICT_ROW, rowVersion: 7, writtenBy: 'tesfaye' },
        wanted: { type: 'set', row: createRow(), basedOn: 1 },
        wantedBy: 'demo-operator',
      },
    ],
  });
};

describe('sessions', () => {
  const paths = ['/table', '/history', '/agreement', '/in-force', '/figures', '/figures/rows'];

  it('are required on every page', async () => {
    const site = createSite();
    for (const path of paths) {
      const page = await site.get(path);
      expect([page.status, page.text.includes('Operator key')]).toEqual([401, true]);
    }
  });

  it('are opened only with an operator key, and the cookie does not contain the secret', async () => {
    const site = createSite();
    expect((await site.post('/sign-in', { key: 'guess' })).status).toBe(401);
    expect((await site.post('/sign-in', { key: demoSecret(ENSEMBLE, 'caller') })).status).toBe(401);
    const secret = demoSecret(ENSEMBLE, 'operator');
    const opened = await site.post('/sign-in', { key: secret });
    expect([opened.status, opened.headers.get('location')]).toEqual([303, '/table']);
    const cookie = opened.headers.get('set-cookie') ?? '';
    expect(cookie).toMatch(/; HttpOnly/);
    expect(cookie).toMatch(/; SameSite=Strict/);
    expect(cookie).not.toContain(secret);
    for (const path of paths) {
      expect((await site.get(path)).status).toBe(200);
    }
  });

  it('are accepted by another node with the same secret, and refused by a node with another secret', async () => {
    const site = await createSignedIn();
    const other = createOperatorFixture();
    putContents(other, twoPartners());
    const headers = { cookie: site.cookie() };
    const same = createOperatorApp(other.context);
    expect((await same.request('/table', { headers })).status).toBe(200);
    const stranger = createOperatorApp({ ...other.context, sessionSecret: 'another secret' });
    expect((await stranger.request('/table', { headers })).status).toBe(401);
  });

  it('are refused when expired or forged, or after a rotation of their key', async () => {
    const site = await createSignedIn();
    const cookie = site.cookie();
    const app = createOperatorApp(site.fixture.context);
    const status = async (sent: string): Promise<number> =>
      (await app.request('/table', { headers: { cookie: sent } })).status;
    expect(await status(cookie)).toBe(200);
    expect(await status(cookie.slice(0, -2))).toBe(401);
    expect(await status(cookie.replace(/=ey/, '=fy'))).toBe(401);
    site.fixture.now += SESSION_MS;
    expect(await status(cookie)).toBe(401);
    site.fixture.now -= SESSION_MS;
    const { record } = createKey('demo-operator', 'operator');
    putContents(site.fixture, [{ type: 'keys', keys: { partner: ENSEMBLE, keys: [record] } }]);
    expect(await status(cookie)).toBe(401);
  });

  it('are closed by signing out', async () => {
    const site = await createSignedIn();
    const fields = site.fieldsOf(await site.get('/table'), 'action="/sign-out"');
    expect((await site.post('/sign-out', fields)).headers.get('location')).toBe('/sign-in');
    expect((await site.get('/table')).status).toBe(401);
  });
});

describe('forms', () => {
  it('are refused without the form token of the session', async () => {
    const site = await createSignedIn();
    const tawe = await createSignedIn(TAWE);
    const foreign = tawe.fieldsOf(await tawe.get('/table'), TABLE_FORM);
    const tokens = ['', 'forged', foreign['form-token'] ?? ''];
    for (const token of tokens) {
      const sent = await sendWeight(site, '4', { 'form-token': token });
      expect(sent.status).toBe(403);
    }
    expect(site.fixture.edits).toEqual([]);
  });

  it('are refused from another site or without an origin', async () => {
    const site = await createSignedIn();
    const fields = site.fieldsOf(await site.get('/table'), TABLE_FORM);
    const origins = [
      { origin: 'http://evil.example' },
      { origin: 'null' },
      { 'sec-fetch-site': 'cross-site' },
      { origin: 'http://localhost', 'sec-fetch-site': 'same-site' },
    ];
    for (const headers of origins) {
      const sent = await site.post('/table', { ...fields, [WEIGHT]: '4', reason: 'x' }, headers);
      expect(sent.status).toBe(403);
    }
    expect((await site.post('/sign-in', { key: 'x' }, { origin: '' })).status).toBe(403);
    expect(site.fixture.edits).toEqual([]);
  });

  it('are refused when too large or of another content type', async () => {
    const site = await createSignedIn();
    const large = await sendWeight(site, 'x'.repeat(FORM_BODY_LIMIT));
    expect(large.status).toBe(413);
    const json = await site.post(
      '/table',
      {},
      {
        origin: 'http://localhost',
        'content-type': 'application/json',
      },
    );
    expect(json.status).toBe(415);
  });
});

describe('the table page', () => {
  it('submits a changed row, under the same edit id each time the form is sent', async () => {
    const site = await createSignedIn();
    const fields = site.fieldsOf(await site.get('/table'), TABLE_FORM);
    const form = { ...fields, [WEIGHT]: '4', reason: 'season opens' };
    const first = await site.post('/table', form);
    expect([first.status, first.text.includes('Accepted as version 1')]).toEqual([200, true]);
    await site.post('/table', form);
    expect(site.fixture.edits.map(({ edit }) => edit)).toEqual([fields.edit, fields.edit]);
    expect(site.fixture.edits[0]).toMatchObject({
      partner: 'ensemble',
      operator: 'demo-operator',
      reason: 'season opens',
      seenVersion: 1,
      action: {
        type: 'change-rows',
        changes: [{ type: 'set', basedOn: 1, row: { route: 'season-roster', weight: 4 } }],
      },
    });
  });

  it('submits no edit when nothing was changed', async () => {
    const site = await createSignedIn();
    const page = await sendWeight(site, '1');
    expect(page.text).toContain('Nothing was changed');
    expect(site.fixture.edits).toEqual([]);
  });

  it('adds a row from a blank row and removes a row', async () => {
    const site = await createSignedIn();
    const fields = site.fieldsOf(await site.get('/table?blank=1'), TABLE_FORM);
    await site.post('/table', {
      ...fields,
      'rows.0.route': 'hall-swap',
      'rows.0.kind': 'top',
      'rows.0.services': 'booking-desk-1 booking-desk-2',
      'rows.0.safeToRepeat': 'true',
      'rows.1.removed': 'yes',
      reason: 'swap',
    });
    expect(site.fixture.edits[0]?.action).toMatchObject({
      changes: [
        { type: 'set', basedOn: 0, row: { partner: 'ensemble', route: 'hall-swap' } },
        { type: 'remove', route: 'season-roster', kind: 'page', basedOn: 1 },
      ],
    });
  });

  it('shows findings at their cells and keeps the input', async () => {
    const site = await createSignedIn();
    const page = await sendWeight(site, '-4', { 'rows.0.deadlineMs': 'soon' });
    expect(page.status).toBe(422);
    expect(page.text).toMatch(/id="cell-0-weight"[^>]*value="-4"[^>]*aria-invalid="true"/);
    expect(page.text).toMatch(/id="cell-0-deadlineMs"[^>]*value="soon"[^>]*aria-invalid="true"/);
    expect(page.text).toContain('href="#cell-0-weight"');
    expect(site.fixture.edits).toEqual([]);
  });

  it('shows findings of the core at their cells', async () => {
    const site = await createSignedIn();
    site.fixture.answerEdit = (edit) => ({
      type: 'refused',
      edit: edit.edit,
      findings: [
        {
          severity: 'error',
          place: 'sheet/ensemble row season-roster/page column services',
          problem: 'no such service',
        },
      ],
    });
    const page = await sendWeight(site, '4');
    expect(page.status).toBe(422);
    expect(page.text).toMatch(/id="cell-0-services"[^>]*aria-invalid="true"/);
  });

  it('links a finding of a whole row to the row', async () => {
    const site = await createSignedIn();
    const place = 'sheet/ensemble row season-roster/page';
    site.fixture.answerEdit = (edit) => ({
      type: 'refused',
      edit: edit.edit,
      findings: [{ severity: 'error', place, problem: 'is changed twice by one edit' }],
    });
    const page = await sendWeight(site, '4');
    expect(page.text).toContain(`<a href="#cell-0-route">${place}</a>`);
    expect(page.text).toContain('id="cell-0-route"');
  });

  it('requires a reason', async () => {
    const site = await createSignedIn();
    const page = await sendWeight(site, '4', { reason: ' ' });
    expect([page.status, page.text.includes('edit.reason')]).toEqual([422, true]);
    expect(site.fixture.edits).toEqual([]);
  });

  it("shows the other partner's rows without inputs", async () => {
    const site = await createSignedIn();
    const page = await site.get('/table?partner=tawe');
    expect(page.text).toContain('ledger');
    expect(page.text).not.toMatch(/name="rows\./);
  });

  it("edits the operator's own sheet even if the query names another partner", async () => {
    const site = await createSignedIn();
    const fields = site.fieldsOf(await site.get('/table'), TABLE_FORM);
    const form = { ...fields, [WEIGHT]: '4', 'rows.0.partner': 'tawe', reason: 'x' };
    await site.post('/table?partner=tawe', form);
    expect(site.fixture.edits).toMatchObject([
      { partner: 'ensemble', action: { changes: [{ row: { partner: 'ensemble' } }] } },
    ]);
  });

  it('paginates and filters 10,000 rows', async () => {
    const site = await createSignedIn();
    const rows = Array.from({ length: 10_000 }, (_, index) =>
      createRow({ route: `route-${String(index).padStart(5, '0')}` }),
    );
    putContents(site.fixture, [sheetOf(ENSEMBLE, rows.slice(0, 2 * PAGE_ROWS))]);
    const short = await site.get('/table');
    putContents(site.fixture, [sheetOf(ENSEMBLE, rows)]);
    const first = await site.get('/table');
    expect(first.text.length / short.text.length).toBeLessThan(1.01);
    expect(first.text.match(/<tr>/g)).toHaveLength(PAGE_ROWS + 1);
    expect(first.text).toContain('of 10,000');
    const last = await site.get('/table?page=200');
    expect(last.text).toContain('route-09999');
    const filtered = await site.get('/table?filter=route-0777');
    expect(filtered.text).toContain('Rows 1 to 10 of 10');
  });
});

describe('an edit that is not accepted', () => {
  it('shows a conflict with both values and their authors', async () => {
    const site = await createSignedIn();
    answerConflict(site.fixture);
    const page = await sendWeight(site, '4');
    expect(page.status).toBe(409);
    expect(page.text).toMatch(/Current value, by tesfaye/);
    expect(page.text).toMatch(/Requested value, by demo-operator/);
    expect(page.text).toMatch(/>\s*9\s*<\/td>\s*<td data-label="Requested value">\s*4\s*</);
  });

  it('overwrites the current value only if the operator chooses so', async () => {
    const site = await createSignedIn();
    answerConflict(site.fixture);
    const fields = site.fieldsOf(await sendWeight(site, '4'), TABLE_FORM);
    const kept = await site.post('/table', { ...fields, 'rows.0.resolve': 'theirs' });
    expect(kept.text).toContain('Nothing was changed');
    expect(site.fixture.edits).toHaveLength(1);
    await site.post('/table', { ...fields, 'rows.0.resolve': 'mine' });
    expect(site.fixture.edits[1]).toMatchObject({
      seenVersion: 7,
      action: { changes: [{ type: 'set', basedOn: 7, row: { weight: 4 } }] },
    });
    expect(site.fixture.edits[1]?.edit).not.toBe(site.fixture.edits[0]?.edit);
  });

  it('can be sent again under the same id while its outcome is unknown', async () => {
    const site = await createSignedIn();
    site.fixture.answerEdit = ({ edit }) => ({
      type: 'unknown',
      edit,
      problem: 'no answer from the store.',
    });
    const page = await sendWeight(site, '4');
    expect([page.status, page.text.includes('no answer from the store.')]).toEqual([504, true]);
    await site.post('/table', site.fieldsOf(page, TABLE_FORM));
    const [first, second] = site.fixture.edits;
    expect(second).toEqual(first);
  });

  it('shows that it has expired', async () => {
    const site = await createSignedIn();
    site.fixture.answerEdit = ({ edit }) => ({ type: 'expired', edit, problem: 'too old' });
    const page = await sendWeight(site, '4');
    expect([page.status, page.text.includes('too old')]).toEqual([410, true]);
  });
});

describe('the agreement page', () => {
  const SHARES = [
    { partner: ENSEMBLE, share: 0.4 },
    { partner: TAWE, share: 0.6 },
  ];

  it('proposes shares in percent', async () => {
    const site = await createSignedIn();
    const fields = site.fieldsOf(await site.get('/agreement'), 'action="/agreement/proposals"');
    const form = { ...fields, 'share.ensemble': '40', 'share.tawe': '60', reason: 'winter' };
    expect((await site.post('/agreement/proposals', form)).text).toContain('Accepted');
    expect(site.fixture.edits[0]?.action).toMatchObject({
      type: 'propose-agreement',
      shares: SHARES,
    });
    const wrong = await site.post('/agreement/proposals', { ...form, 'share.tawe': '' });
    expect(wrong.status).toBe(422);
  });

  const EDIT = identifier<EditId>('e-1');
  const SEEN_TOO_EARLY = 'it saw version 1';
  const OUTCOMES: readonly EditOutcome[] = [
    { type: 'accepted', edit: EDIT, version: 2, revision: 9, findings: [] },
    { type: 'refused', edit: EDIT, findings: [{ severity: 'error', place: 'a', problem: 'b' }] },
    { type: 'conflict', edit: EDIT, conflicts: [] },
    { type: 'expired', edit: EDIT, problem: SEEN_TOO_EARLY },
    { type: 'unknown', edit: EDIT, problem: SEEN_TOO_EARLY },
  ];

  it.each(OUTCOMES)(
    'shows the outcome $type with the status of the JSON endpoint',
    async (outcome) => {
      const site = await createSignedIn();
      const fields = site.fieldsOf(await site.get('/agreement'), 'action="/agreement/proposals"');
      const form = { ...fields, 'share.ensemble': '40', 'share.tawe': '60', reason: 'winter' };
      site.fixture.answerEdit = () => outcome;
      const page = await site.post('/agreement/proposals', form);
      expect(page.status).toBe(EDIT_OUTCOME_STATUS[outcome.type]);
    },
  );

  it('approves exactly the shares that were shown', async () => {
    const site = await createSignedIn();
    const proposal = { proposal: 'winter', proposedBy: TAWE, shares: SHARES, approvedBy: [TAWE] };
    const agreement = { shares: SHARES, proposals: [proposal] };
    putContents(site.fixture, [{ type: 'agreement', agreement }]);
    const fields = site.fieldsOf(await site.get('/agreement'), 'action="/agreement/approvals"');
    await site.post('/agreement/approvals', { ...fields, reason: 'agreed' });
    expect(site.fixture.edits[0]).toMatchObject({
      seenVersion: 2,
      action: { type: 'approve-agreement', proposal: 'winter', shares: SHARES },
    });
  });
});

describe('input of other operators', () => {
  const SCRIPT = '"><script>alert(1)</script>';

  it('is escaped wherever it is shown', async () => {
    const site = await createSignedIn();
    const record = {
      edit: identifier<EditId>(SCRIPT),
      operator: SCRIPT,
      writtenAt: 8.65e15,
      reason: SCRIPT,
      rows: [SCRIPT],
      digest: 1,
      sheetVersion: 1,
    };
    const row = { row: createRow({ services: [SCRIPT] }), rowVersion: 1, writtenBy: SCRIPT };
    const sheet = { partner: TAWE, rows: [row], history: [record] };
    putContents(site.fixture, [{ type: 'sheet', sheet }]);
    const pages = [
      await site.get('/table?partner=tawe'),
      await site.get('/history?partner=tawe'),
      await site.get(`/table?filter=${encodeURIComponent(SCRIPT)}`),
      await sendWeight(site, SCRIPT, { reason: SCRIPT, 'rows.0.kind': SCRIPT }),
    ];
    for (const page of pages) {
      expect(page.text).toContain('&lt;script&gt;');
      expect(page.text).not.toContain('<script>');
    }
  });

  it('cannot run as a script: no page allows inline scripts or frames', async () => {
    const site = await createSignedIn();
    for (const path of ['/table', '/sign-in', '/history', '/assets/page.js', '/v1/table']) {
      const policy = (await site.get(path)).headers.get('content-security-policy') ?? '';
      expect(policy).toContain("default-src 'none'");
      expect(policy).toContain("script-src 'self'");
      expect(policy).toContain("frame-ancestors 'none'");
      expect(policy).not.toContain('unsafe');
    }
    const page = await site.get('/table');
    expect(page.text).not.toMatch(/\son[a-z]+=|style="/);
  });
});
