/**
 * Sends arbitrary requests to the operator port, over the real core and the store model. Checks
 * that no request crashes the node, no operator changes objects of the other partner, each refusal
 * locates its findings, and no input is rendered as markup.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { identifier, type ObjectName } from '../../src/core/identifiers.js';
import { step } from '../../src/core/reducer.js';
import { demoSecret } from '../../src/deployments/demo-keys.js';
import { findDeployments } from '../../src/deployments/deployments.js';
import { buildInitialObjects } from '../../src/deployments/initial-objects.js';
import { createOperatorApp } from '../../src/operator/create-operator-app.js';
import type { OperatorProblem } from '../../src/operator/problem.js';
import { COLUMNS } from '../../src/table/columns.js';
import type { EditOutcome } from '../../src/table/edit.js';
import { EditingWorld } from '../editing/editing-world.js';
import { createRow } from '../table/rows.js';
import { createOperatorFixture, ENSEMBLE, operatorHeader } from './operator-fixture.js';
import { createBrowser } from './page-browser.js';

const SEED = 20_261_202;
const RUNS = { seed: SEED, numRuns: 300 };

const INJECTIONS = [
  '<marker-x>',
  '"><marker-x a="',
  "'><marker-x a='",
  '" marker-y="1',
  "' marker-y='1",
  '</textarea></script><marker-x>',
  '&lt;marker-x&gt;<marker-x>',
  '${marker} {{marker}} <!--<marker-x>-->',
  '\u0000<marker-x>\u2028\ud800',
  '__proto__',
  '../../keys/tawe',
];

const anyText = (): fc.Arbitrary<string> =>
  fc.oneof(fc.constantFrom(...INJECTIONS), fc.string({ unit: 'binary', maxLength: 30 }));

const anyValue = (): fc.Arbitrary<unknown> =>
  fc.oneof(anyText(), fc.jsonValue(), fc.double(), fc.constant(null));

const partnerName = (): fc.Arbitrary<string> =>
  fc.oneof(
    { weight: 6, arbitrary: fc.constant('ensemble') },
    { weight: 2, arbitrary: fc.constant('tawe') },
    { weight: 1, arbitrary: anyText() },
  );

/** Generates `usual` in 7 of 8 cases, otherwise `other`. */
const mostly = <Usual, Other>(usual: fc.Arbitrary<Usual>, other: fc.Arbitrary<Other>) =>
  fc.oneof({ weight: 7, arbitrary: usual }, { weight: 1, arbitrary: other });

/** Generates a valid row in which a few columns may have arbitrary values. */
const rowWithArbitraryColumns = (): fc.Arbitrary<unknown> =>
  fc
    .record({
      partner: partnerName(),
      route: mostly(fc.constant('new-route'), fc.constantFrom('season-roster', 'ledger')),
      kind: fc.constantFrom('page', 'lookup', 'change'),
      services: fc.constant(['booking-desk-1']),
      overrides: mostly(fc.constant({}), arbitraryColumns()),
    })
    .map(({ overrides, services, ...row }) => ({
      ...createRow(row),
      services,
      ...(overrides as object),
    }));

const arbitraryColumns = (): fc.Arbitrary<unknown> =>
  fc.dictionary(
    fc.oneof(fc.constantFrom(...COLUMNS.map(({ name }) => name)), anyText()),
    anyValue(),
    { minKeys: 1, maxKeys: 2 },
  );

const anyChange = (): fc.Arbitrary<unknown> => mostly(wellFormedChange(), fc.jsonValue());

const wellFormedChange = (): fc.Arbitrary<unknown> =>
  fc.oneof(
    fc.record({
      type: fc.constant('set'),
      row: rowWithArbitraryColumns(),
      basedOn: mostly(fc.constant(0), fc.nat(2)),
    }),
    fc.record({
      type: fc.constant('remove'),
      partner: partnerName(),
      route: fc.oneof(fc.constantFrom('season-roster', 'ledger'), anyText()),
      kind: fc.oneof(fc.constantFrom('page', 'lookup'), anyText()),
      basedOn: fc.nat(2),
    }),
  );

const anyShares = (): fc.Arbitrary<unknown> =>
  fc.array(fc.record({ partner: partnerName(), share: fc.oneof(fc.constant(0.5), anyValue()) }), {
    maxLength: 3,
  });

const anyAction = (): fc.Arbitrary<unknown> =>
  fc.oneof({ weight: 2, arbitrary: changeOfRows() }, { weight: 1, arbitrary: otherAction() });

const changeOfRows = (): fc.Arbitrary<unknown> =>
  fc.record({
    type: fc.constant('change-rows'),
    changes: fc.array(anyChange(), { minLength: 1, maxLength: 2 }),
  });

const otherAction = (): fc.Arbitrary<unknown> =>
  fc.oneof(
    fc.record({
      type: fc.constantFrom('propose-agreement', 'approve-agreement'),
      proposal: fc.oneof(fc.constant('winter'), anyText()),
      shares: anyShares(),
    }),
    fc.record({
      type: fc.constant('replace-keys'),
      partner: partnerName(),
      keys: fc.array(
        fc.record({
          name: mostly(fc.constant('thief'), anyText()),
          role: fc.constantFrom('caller', 'operator'),
          sha256: mostly(fc.constant('0'.repeat(64)), anyText()),
        }),
        { maxLength: 2 },
      ),
      basedOn: fc.nat(2),
    }),
    fc.jsonValue(),
  );

const anyEdit = (): fc.Arbitrary<unknown> =>
  fc.oneof(
    { weight: 8, arbitrary: fc.record(editFields()) },
    { weight: 1, arbitrary: fc.jsonValue() },
  );

const editFields = () => ({
  edit: mostly(fc.uuid(), anyText()),
  partner: partnerName(),
  operator: anyText(),
  reason: mostly(fc.constant('season'), anyText()),
  seenVersion: fc.nat(2),
  action: anyAction(),
});

/** Creates the operator port of a node with the real core, connected to the store model. */
const createServedWorld = () => {
  const address = () => ({ host: '127.0.0.1', port: 9 });
  const objects = buildInitialObjects(findDeployments('both'), address);
  const world = new EditingWorld({ nodes: 1, seed: 7, step, objects });
  const fixture = createOperatorFixture();
  const core = world.nodes[0]?.core ?? fixture.state;
  const app = createOperatorApp({
    ...fixture.context,
    state: () => core,
    submitEdit: (edit) => {
      const outcome = world.edit(0, edit);
      world.run(() => false);
      return Promise.resolve(outcome);
    },
  });
  const versionOf = (name: string): number | undefined =>
    world.store.read(identifier<ObjectName>(name))?.version;
  return { app, world, versionOf };
};

/** Objects that an operator of `ensemble` cannot change. */
const FOREIGN_OBJECTS = ['sheet/tawe', 'keys/tawe', 'layout/tawe', 'layout/ensemble'];

const expectNamedPlaces = async (response: Response): Promise<void> => {
  const body = (await response.json()) as OperatorProblem | EditOutcome;
  const findings = ('findings' in body ? body.findings : undefined) ?? [];
  expect(findings.length).toBeGreaterThan(0);
  for (const { place, problem } of findings) {
    expect(place).toMatch(/\S/);
    expect(problem).toMatch(/\S/);
  }
};

/** Fails if a marker was rendered as an element or an attribute. */
const expectNoMarkup = (text: string): void => {
  expect(text).not.toMatch(/<marker-x/);
  const withoutValues = text.replace(/="[^"]*"/g, '=""');
  expect(withoutValues).not.toMatch(/<[^>]*\smarker-y/);
};

describe('arbitrary edits', () => {
  it('do not crash the node or change objects of the other partner, and refusals locate the findings', async () => {
    const accepted = { edits: 0 };
    await fc.assert(
      fc.asyncProperty(anyEdit(), async (edit) => {
        const { app, world, versionOf } = createServedWorld();
        const before = FOREIGN_OBJECTS.map(versionOf);
        const response = await app.request('/v1/edits', {
          method: 'POST',
          headers: { 'content-type': 'application/json', ...operatorHeader(ENSEMBLE) },
          body: JSON.stringify(edit),
        });
        expect([200, 403, 409, 422]).toContain(response.status);
        expect(FOREIGN_OBJECTS.map(versionOf)).toEqual(before);
        const agreement = world.store.read(identifier<ObjectName>('agreement'))?.content;
        expect(agreement).toMatchObject({
          agreement: { shares: [{ share: 0.5 }, { share: 0.5 }] },
        });
        if (response.status === 200) {
          accepted.edits += 1;
        } else if (response.status !== 409) {
          await expectNamedPlaces(response);
        }
      }),
      RUNS,
    );
    expect(accepted.edits).toBeGreaterThan(RUNS.numRuns / 20);
  });

  it('that are not JSON are refused with a located finding', async () => {
    const { app } = createServedWorld();
    await fc.assert(
      fc.asyncProperty(fc.uint8Array({ maxLength: 200 }), async (bytes) => {
        const response = await app.request('/v1/edits', {
          method: 'POST',
          headers: { 'content-type': 'application/json', ...operatorHeader(ENSEMBLE) },
          body: Uint8Array.from(bytes),
        });
        expect([400, 422]).toContain(response.status);
        await expectNamedPlaces(response);
      }),
      RUNS,
    );
  });
});

const formFields = (): fc.Arbitrary<Record<string, string>> => {
  const columns = COLUMNS.map(({ name }) => `rows.0.${name}`);
  const others = ['reason', 'edit', 'seen-version', 'rows.0.based-on', 'rows.0.shown'];
  const marks = ['rows.0.removed', 'rows.0.resolve', 'rows.0.written-by', 'rows.7.based-on'];
  return fc.dictionary(fc.constantFrom(...columns, ...others, ...marks), anyText(), {
    maxKeys: 4,
  });
};

describe('arbitrary forms', () => {
  it('do not crash the page, change objects of the other partner or inject markup', async () => {
    await fc.assert(
      fc.asyncProperty(formFields(), anyText(), async (changed, reason) => {
        const { app, versionOf } = createServedWorld();
        const browser = createBrowser(app);
        await browser.post('/sign-in', { key: demoSecret(ENSEMBLE, 'operator') });
        const page = await browser.get('/table?blank=1');
        const fields = browser.fieldsOf(page, 'method="post" action="/table');
        const answer = await browser.post('/table', { ...fields, reason, ...changed });
        expect([200, 409, 422]).toContain(answer.status);
        expectNoMarkup(answer.text);
        expect(FOREIGN_OBJECTS.map(versionOf)).toEqual(FOREIGN_OBJECTS.map(() => 1));
        expectNoMarkup((await browser.get('/history')).text);
        expectNoMarkup((await browser.get('/table')).text);
      }),
      { ...RUNS, numRuns: 100 },
    );
  });

  it('of the agreement do not change the shares without the other partner', async () => {
    await fc.assert(
      fc.asyncProperty(anyText(), anyText(), anyText(), async (share, other, reason) => {
        const { app, world } = createServedWorld();
        const browser = createBrowser(app);
        await browser.post('/sign-in', { key: demoSecret(ENSEMBLE, 'operator') });
        const mark = 'action="/agreement/proposals"';
        const fields = browser.fieldsOf(await browser.get('/agreement'), mark);
        const shares = { 'share.ensemble': share, 'share.tawe': other };
        const proposed = await browser.post('/agreement/proposals', {
          ...fields,
          ...shares,
          reason,
        });
        const approved = await browser.post('/agreement/approvals', {
          ...fields,
          proposal: other,
          shares: share,
          reason,
        });
        expect([200, 422]).toContain(proposed.status);
        expect([200, 422]).toContain(approved.status);
        expectNoMarkup(proposed.text + approved.text);
        const agreement = world.store.read(identifier<ObjectName>('agreement'))?.content;
        expect(agreement).toMatchObject({
          agreement: { shares: [{ share: 0.5 }, { share: 0.5 }] },
        });
      }),
      { ...RUNS, numRuns: 60 },
    );
  });
});

describe('arbitrary queries and headers', () => {
  const PATHS = ['/table', '/history', '/agreement', '/in-force', '/in-force/spread', '/figures'];

  it('do not crash a page or inject markup', async () => {
    const { app } = createServedWorld();
    const browser = createBrowser(app);
    await browser.post('/sign-in', { key: demoSecret(ENSEMBLE, 'operator') });
    const parameters = fc.dictionary(
      fc.constantFrom('partner', 'filter', 'page', 'blank', 'revision'),
      fc.oneof(anyText(), fc.integer().map(String)),
    );
    await fc.assert(
      fc.asyncProperty(fc.constantFrom(...PATHS), parameters, async (path, query) => {
        const page = await browser.get(`${path}?${new URLSearchParams(query).toString()}`);
        expect(page.status).toBe(200);
        expectNoMarkup(page.text);
      }),
      RUNS,
    );
  });

  it('do not authenticate without a key', async () => {
    const { app } = createServedWorld();
    const headerText = fc
      .string({ unit: 'grapheme-ascii', maxLength: 60 })
      .map((text) => text.trim());
    await fc.assert(
      fc.asyncProperty(headerText, headerText, async (authorization, token) => {
        const cookie = `crossroad_session=${token}`;
        const api = await app.request('/v1/table', { headers: { authorization, cookie } });
        const page = await app.request('/table', { headers: { authorization, cookie } });
        expect([api.status, page.status]).toEqual([401, 401]);
      }),
      RUNS,
    );
  });
});
