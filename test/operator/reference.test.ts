import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { format, resolveConfig } from 'prettier';
import { describe, expect, it } from 'vitest';
import { COMMANDS } from '../../src/cli/commands.js';
import { NODE_SETTINGS_SCHEMA } from '../../src/settings/node-settings-schema.js';
import { createOperatorApp } from '../../src/operator/create-operator-app.js';
import { OPERATOR_ENDPOINTS } from '../../src/operator/endpoints.js';
import { listReferencePages } from '../../src/reference/list-reference-pages.js';
import { createOperatorFixture } from './operator-fixture.js';

const FOLDER = new URL('../../docs/reference/', import.meta.url);

describe('the reference', () => {
  it.each(listReferencePages())('page $fileName is up to date', async ({ fileName, text }) => {
    const page = new URL(fileName, FOLDER);
    const options = await resolveConfig(fileURLToPath(page));
    const generated = await format(text, { ...options, parser: 'markdown' });
    const isUpToDate = readFileSync(page, 'utf8') === generated;
    expect(isUpToDate, 'out of date: run `npm run reference` and commit the result').toBe(true);
  });

  it('describes each setting and each command', () => {
    const fields = Object.entries(NODE_SETTINGS_SCHEMA.shape);
    expect(fields.filter(([, field]) => !field.description).map(([name]) => name)).toEqual([]);
    const bare = COMMANDS.filter(({ help, name }) => !help.includes(`crossroad ${name}`));
    expect(bare.map(({ name }) => name)).toEqual([]);
  });

  it('lists exactly the endpoints that the operator port serves to programs', () => {
    const served = createOperatorApp(createOperatorFixture().context)
      .routes.filter(({ method, path }) => method !== 'ALL' && /^\/(v1|health|metrics)/.test(path))
      .map(({ method, path }) => `${method} ${path}`);
    const listed = OPERATOR_ENDPOINTS.map(({ method, path }) => `${method} ${path}`);
    expect([...new Set(served)].sort()).toEqual([...listed].sort());
  });
});
