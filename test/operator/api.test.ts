import { describe, expect, it } from 'vitest';
import { createOperatorApp } from '../../src/operator/create-operator-app.js';
import { EDIT_BODY_LIMIT } from '../../src/operator/api-routes.js';
import type { OperatorProblem } from '../../src/operator/problem.js';
import { EDITS_IN_PROGRESS_LIMIT } from '../../src/operator/submit-edit.js';
import { historyBodySchema, tableBodySchema } from '../../src/operator-protocol/table-body.js';
import { revisionsBodySchema, statusBodySchema } from '../../src/operator-protocol/status-body.js';
import { createKey } from '../../src/auth/create-key.js';
import { demoSecret } from '../../src/deployments/demo-keys.js';
import type { EditOutcome } from '../../src/table/edit.js';
import { type EditRecord, type Sheet, NODE_HISTORY_LIMIT } from '../../src/table/sheet.js';
import { createRow } from '../table/rows.js';
import {
  createOperatorFixture,
  ENSEMBLE,
  operatorHeader,
  putContents,
  sheetOf,
  TAWE,
  twoPartners,
} from './operator-fixture.js';

import { identifier, type EditId, type ObjectName } from '../../src/core/identifiers.js';

const EDIT = identifier<EditId>('edit-1');

const createServed = () => {
  const fixture = createOperatorFixture();
  putContents(fixture, twoPartners());
  return { fixture, app: createOperatorApp(fixture.context) };
};

type App = ReturnType<typeof createServed>['app'];

const setRow = (partner: string) => ({
  edit: EDIT,
  reason: 'festival season',
  seenVersion: 1,
  action: {
    type: 'change-rows',
    changes: [{ type: 'set', row: createRow({ partner, weight: 4 }), basedOn: 0 }],
  },
});

const postEdit = async (app: App, body: unknown, headers: Record<string, string> = {}) =>
  app.request('/v1/edits', {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...operatorHeader(ENSEMBLE), ...headers },
    body: typeof body === 'string' ? body : JSON.stringify(body),
  });

const readProblem = async (response: Response): Promise<OperatorProblem> => {
  expect(response.headers.get('content-type')).toBe('application/problem+json');
  const problem = (await response.json()) as OperatorProblem;
  expect(problem.status).toBe(response.status);
  return problem;
};

describe('operator keys', () => {
  const paths = ['/v1/table', '/v1/table/ensemble/history', '/v1/status', '/v1/revisions'];

  it('are required on every endpoint', async () => {
    const { app } = createServed();
    for (const path of paths) {
      expect((await app.request(path)).status).toBe(401);
      const unknown = { authorization: 'Bearer nobody' };
      expect((await app.request(path, { headers: unknown })).status).toBe(401);
      const caller = { authorization: `Bearer ${demoSecret(ENSEMBLE, 'caller')}` };
      expect((await app.request(path, { headers: caller })).status).toBe(403);
    }
    expect((await postEdit(app, setRow('ensemble'), { authorization: '' })).status).toBe(401);
  });

  it('get an error that says whether the key is missing or not in force', async () => {
    const { app } = createServed();
    const detailOf = async (headers: Record<string, string>) =>
      (await readProblem(await app.request('/v1/table', { headers }))).detail;
    expect(await detailOf({})).toBe('Present an operator key as a bearer token.');
    const unknown = { authorization: 'Bearer nobody' };
    expect(await detailOf(unknown)).toBe('No key in force has this secret.');
  });

  it('are refused with a log line that does not contain the secret', async () => {
    const { fixture, app } = createServed();
    await app.request('/v1/table', { headers: { authorization: 'Bearer a-guessed-secret' } });
    expect(fixture.logged).toEqual(['Refused a key: unknown.']);
  });

  it('are answered with status 503 by a starting node that holds no keys yet', async () => {
    const { context } = createOperatorFixture();
    const app = createOperatorApp(context);
    for (const path of [...paths, '/table']) {
      expect((await app.request(path, { headers: operatorHeader(ENSEMBLE) })).status).toBe(503);
    }
    expect((await postEdit(app, setRow('ensemble'))).status).toBe(503);
  });

  it('are rotated without a restart', async () => {
    const { fixture, app } = createServed();
    const fresh = createKey('almaz', 'operator');
    putContents(fixture, [{ type: 'keys', keys: { partner: ENSEMBLE, keys: [fresh.record] } }]);
    const old = await app.request('/v1/table', { headers: operatorHeader(ENSEMBLE) });
    const headers = { authorization: `Bearer ${fresh.secret}` };
    const renewed = await app.request('/v1/table', { headers });
    expect([old.status, renewed.status]).toEqual([401, 200]);
  });
});

describe('reading', () => {
  it('return the whole table to operators of both partners', async () => {
    const { fixture, app } = createServed();
    const response = await app.request('/v1/table', { headers: operatorHeader(TAWE) });
    const table = tableBodySchema.parse(await response.json());
    expect(table.partner).toBe('tawe');
    expect(table.revision).toBe(fixture.state.configuration.revision);
    expect(table.sheets.map((sheet) => [sheet.partner, sheet.version, sheet.rows.length])).toEqual([
      ['ensemble', 1, 1],
      ['tawe', 1, 1],
    ]);
    expect(table.agreement.shares).toHaveLength(2);
    expect(JSON.stringify(table)).not.toMatch(/sha256/);
  });

  it('return the history of a sheet, and 404 for an unknown partner', async () => {
    const { app } = createServed();
    const headers = operatorHeader(TAWE);
    const response = await app.request('/v1/table/ensemble/history', { headers });
    const history = historyBodySchema.parse(await response.json());
    expect(history.history.map((record) => record.reason)).toEqual(['season opens']);
    expect((await app.request('/v1/table/nobody/history', { headers })).status).toBe(404);
  });

  it('read older edits from the store, and set olderMissing when the store does not answer', async () => {
    const { app, fixture } = createServed();
    const content = sheetOf(ENSEMBLE, [createRow({ route: 'season-roster', kind: 'page' })]);
    const sheet = content.type === 'sheet' ? content.sheet : undefined;
    const history = Array.from({ length: NODE_HISTORY_LIMIT + 9 }, (_, index) => ({
      ...(sheet?.history[0] as EditRecord),
      edit: identifier<EditId>(`e-${index}`),
      sheetVersion: 2 + index,
    }));
    putContents(fixture, [{ type: 'sheet', sheet: { ...(sheet as Sheet), history } }]);
    const readEdits = async () => {
      const headers = operatorHeader(TAWE);
      const response = await app.request('/v1/table/ensemble/history', { headers });
      return historyBodySchema.parse(await response.json());
    };
    const part = await readEdits();
    expect(part).toMatchObject({ olderMissing: true });
    expect(part.history).toHaveLength(NODE_HISTORY_LIMIT);
    const name = identifier<ObjectName>('sheet/ensemble');
    const stored = { ...(sheet as Sheet), history };
    fixture.stored.set(name, {
      name,
      version: 99,
      revision: 99,
      content: { type: 'sheet', sheet: stored },
    });
    const whole = await readEdits();
    expect(whole).not.toHaveProperty('olderMissing');
    expect(whole.history.map(({ edit }) => edit)).toEqual(history.map(({ edit }) => edit));
  });

  it('return the status and the revisions of the node itself', async () => {
    const { fixture, app } = createServed();
    const headers = operatorHeader(ENSEMBLE);
    const status = statusBodySchema.parse(
      await (await app.request('/v1/status', { headers })).json(),
    );
    const { revision } = fixture.state.configuration;
    expect(status.nodes).toMatchObject([{ node: 'bole/node-1', state: 'alive', revision }]);
    expect(status.objects).toContainEqual({ name: 'sheet/tawe', version: 1, revision: 5 });
    const revisions = revisionsBodySchema.parse(
      await (await app.request('/v1/revisions', { headers })).json(),
    );
    expect(revisions.nodes).toEqual(status.nodes);
  });
});

describe('edits', () => {
  it('are submitted to the core with the partner and operator of the key', async () => {
    const { fixture, app } = createServed();
    const response = await postEdit(app, setRow('ensemble'));
    expect(response.status).toBe(200);
    expect(await response.json()).toMatchObject({ type: 'accepted', edit: 'edit-1' });
    expect(fixture.edits).toMatchObject([
      { partner: 'ensemble', operator: 'demo-operator', writtenAt: fixture.now },
    ]);
  });

  it('with a row of the other partner do not reach the core', async () => {
    const { fixture, app } = createServed();
    const response = await postEdit(app, setRow('tawe'));
    expect(response.status).toBe(403);
    expect((await readProblem(response)).findings).toMatchObject([
      { place: 'sheet/tawe row roster/page column partner', allowed: 'ensemble' },
    ]);
    expect(fixture.edits).toEqual([]);
  });

  it.each<[EditOutcome, number]>([
    [{ type: 'refused', edit: EDIT, findings: [] }, 422],
    [{ type: 'conflict', edit: EDIT, conflicts: [] }, 409],
    [{ type: 'expired', edit: EDIT, problem: 'too old' }, 410],
    [{ type: 'unknown', edit: EDIT, problem: 'no answer from the store' }, 504],
  ])('with the outcome %j get status %i', async (outcome, status) => {
    const { fixture, app } = createServed();
    fixture.answerEdit = () => outcome;
    const response = await postEdit(app, setRow('ensemble'));
    expect(response.status).toBe(status);
    expect(await response.json()).toEqual(outcome);
  });

  it('are refused with the place of each finding', async () => {
    const { app } = createServed();
    const bad = setRow('ensemble');
    Object.assign(bad.action.changes[0]?.row ?? {}, { weight: 0, deadlineMs: 'soon' });
    const response = await postEdit(app, bad);
    expect(response.status).toBe(422);
    const places = (await readProblem(response)).findings?.map((finding) => finding.place);
    expect(places).toEqual([
      'edit row roster/page column weight',
      'edit row roster/page column deadlineMs',
    ]);
  });

  it('are refused when they are not JSON, of another content type or too large', async () => {
    const { fixture, app } = createServed();
    expect((await postEdit(app, '{')).status).toBe(400);
    expect((await postEdit(app, '{}', { 'content-type': 'text/plain' })).status).toBe(415);
    const large = await postEdit(app, `"${'x'.repeat(EDIT_BODY_LIMIT)}"`);
    expect((await readProblem(large)).status).toBe(413);
    expect(fixture.edits).toEqual([]);
  });

  it('in progress are limited while the store does not answer', async () => {
    const { fixture } = createServed();
    const silent: ((outcome: EditOutcome) => void)[] = [];
    const app = createOperatorApp({
      ...fixture.context,
      submitEdit: () => new Promise((resolve) => silent.push(resolve)),
    });
    const waiting = Array.from({ length: EDITS_IN_PROGRESS_LIMIT }, () =>
      postEdit(app, setRow('ensemble')),
    );
    while (silent.length < EDITS_IN_PROGRESS_LIMIT) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect((await postEdit(app, setRow('ensemble'))).status).toBe(503);
    const outcome: EditOutcome = { type: 'unknown', edit: EDIT, problem: 'silent' };
    silent.forEach((resolve) => {
      resolve(outcome);
    });
    expect((await Promise.all(waiting)).map((response) => response.status)).toEqual(
      waiting.map(() => 504),
    );
  });
});

describe('errors', () => {
  it('get a problem response without internal details', async () => {
    const { fixture } = createServed();
    const app = createOperatorApp({
      ...fixture.context,
      submitEdit: () => Promise.reject(new Error('broken inside')),
    });
    const response = await postEdit(app, setRow('ensemble'));
    expect(response.status).toBe(500);
    expect((await readProblem(response)).detail).not.toContain('broken inside');
    expect((await app.request('/nothing')).status).toBe(404);
  });
});
