/** Fills the template of the settings as DEPLOY.md describes it: values, `json`, sections and commas. */
import { readFileSync } from 'node:fs';

const lookUp = (scopes, name) => {
  if (name === '.') {
    return scopes[0];
  }
  const path = name.split('.');
  for (const scope of scopes) {
    if (scope !== null && typeof scope === 'object' && path[0] in scope) {
      return path.reduce((value, key) => value?.[key], scope);
    }
  }
  return undefined;
};

const formatValue = (value, asJson) => {
  if (asJson) {
    return JSON.stringify(value ?? null);
  }
  if (Array.isArray(value)) {
    return value.join(',');
  }
  return value !== null && typeof value === 'object' ? JSON.stringify(value) : String(value ?? '');
};

const isEmpty = (value) => value === undefined || value === null || value === false;

const fillSection = (body, value, scopes) => {
  if (isEmpty(value)) {
    return '';
  }
  const entries = value !== null && typeof value === 'object' ? Object.values(value) : [value];
  return entries
    .map((entry, index) => {
      const comma = index + 1 < entries.length ? ',' : '';
      return fill(body.replaceAll('{{,}}', comma), [entry, ...scopes]);
    })
    .join('');
};

const fill = (text, scopes) =>
  text
    .replace(/\{\{#([^}]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, name, body) =>
      fillSection(body, lookUp(scopes, name), scopes),
    )
    .replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, name, asJson) =>
      formatValue(lookUp(scopes, name), asJson !== undefined),
    );

/** Returns the settings file of one process. */
export const fillTemplate = (file, fields) => fill(readFileSync(file, 'utf8'), [fields]);

/** Returns the command of the role in the deploy file, as words. */
export const commandOf = (deployFile) => {
  const run = /^run\s*=\s*"([^"]*)"/m.exec(readFileSync(deployFile, 'utf8'));
  return run[1].split(' ');
};
