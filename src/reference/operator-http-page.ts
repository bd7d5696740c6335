/**
 * The reference page of the operators' HTTP API, from the endpoints and the schemas of their bodies.
 */
import { z } from 'zod';
import { OPERATOR_ENDPOINTS, type OperatorEndpoint } from '../operator/endpoints.js';
import { formatHead, formatTable, type ReferencePage } from './reference-page.js';

/** The subset of JSON Schema that the page uses. */
interface JsonSchema {
  readonly type?: string | readonly string[];
  readonly const?: unknown;
  readonly enum?: readonly unknown[];
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly items?: JsonSchema;
  readonly oneOf?: readonly JsonSchema[];
  readonly required?: readonly string[];
}

const describeType = (schema: JsonSchema): string => {
  if (schema.const !== undefined) {
    return JSON.stringify(schema.const);
  }
  if (schema.enum !== undefined) {
    return schema.enum.map((value) => JSON.stringify(value)).join(' or ');
  }
  return [schema.type ?? 'any'].flat().join(' or ');
};

const listFields = (schema: JsonSchema, path: string): string[][] => {
  const required = new Set(schema.required ?? []);
  const own = Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
    const fieldPath = path === '' ? name : `${path}.${name}`;
    const optional = required.has(name) ? '' : ', optional';
    const described = [`\`${fieldPath}\``, `${describeType(field)}${optional}`];
    return [described, ...listFields(field, fieldPath)];
  });
  const items = schema.items === undefined ? [] : listFields(schema.items, `${path}[]`);
  return [...own, ...items, ...(schema.oneOf ?? []).flatMap((each) => listFields(each, path))];
};

const formatBody = (schema: z.ZodType): string => {
  const json = z.toJSONSchema(schema, { unrepresentable: 'any', io: 'input' }) as JsonSchema;
  return formatTable(['field', 'type'], listFields(json, ''));
};

const formatEndpoint = (endpoint: OperatorEndpoint): string => {
  const key = endpoint.needsKey ? 'Needs the bearer key of an operator.' : 'Needs no key.';
  const statuses = Object.entries(endpoint.statuses).map(([status, when]) => [status, when]);
  const request =
    endpoint.request === undefined
      ? ''
      : `\n\nThe body, as \`application/json\`:\n\n${formatBody(endpoint.request)}`;
  const answer =
    endpoint.answer === undefined ? '' : `\n\nThe answer:\n\n${formatBody(endpoint.answer)}`;
  return `## ${endpoint.method} ${endpoint.path}

${endpoint.summary} ${key}

${formatTable(['status', 'when'], statuses)}${request}${answer}`;
};

/** Creates the page of the operators' HTTP API. */
export const createOperatorHttpPage = (): ReferencePage => ({
  fileName: 'operator-http.md',
  text: `${formatHead('HTTP API for operators', 'src/operator/endpoints.ts')}
HTTP/1.1 on a node's operator port. Refusals are \`application/problem+json\`:
\`{"type", "title", "status", "detail", "findings"?}\`, where each finding has \`severity\`, \`place\`,
\`problem\` and, where values are restricted, \`allowed\`. A field \`row\` holds the columns of a sheet; see
[the columns](table-columns.md). The same port serves the web page at \`/\`.

${OPERATOR_ENDPOINTS.map(formatEndpoint).join('\n\n')}
`,
});
