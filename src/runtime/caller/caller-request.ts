/** Reads the headers and the body of a caller's request, and reports all findings together. */
import { type Either, Left, Right } from 'purify-ts';
import { identifier, type PartnerId, type RouteName } from '../../core/identifiers.js';
import type { QueryRequest } from '../../core/query/query-request.js';
import type { Finding } from '../../table/finding.js';

/** Maximum length of a request body, in bytes. */
export const MAX_BODY_BYTES = 64 * 1024;

/** Maximum deadline that a caller may request, in milliseconds. */
const MAX_DEADLINE_MS = 600_000;

/** Maximum number of items that a caller may request. */
const MAX_ITEMS = 100_000;

/** An HTTP request before validation. */
export interface RawCallerRequest {
  readonly partner: PartnerId;
  readonly route: RouteName;
  header(name: string): string | undefined;
  readonly body: string;
}

const KIND_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x20-\x7e]{1,128}$/;
const DEADLINE_PATTERN = /^[1-9]\d{0,5}$/;
const COVERAGE_PATTERN = /^(?:0|1|0?\.\d{1,9}|[01]\.\d{1,9})$/;
const MAX_KEY_LENGTH = 256;

const finding = (place: string, problem: string, allowed: string): Finding => ({
  severity: 'error',
  place,
  problem,
  allowed,
});

type Fields = Record<string, unknown>;

const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Reads the fields of a request and collects findings. */
class RequestReader {
  readonly findings: Finding[] = [];

  constructor(private readonly raw: RawCallerRequest) {}

  kind(): string {
    const text = this.raw.header('x-crossroad-kind') ?? '';
    if (!KIND_PATTERN.test(text)) {
      this.report(
        'header x-crossroad-kind',
        'is missing or no name',
        '1 to 64 letters, digits, . _ -',
      );
    }
    return text;
  }

  deadlineMs(): number | undefined {
    const text = this.raw.header('x-crossroad-deadline-ms');
    if (text === undefined) {
      return undefined;
    }
    const value = Number(text);
    if (!DEADLINE_PATTERN.test(text) || value > MAX_DEADLINE_MS) {
      const allowed = `a whole number from 1 to ${MAX_DEADLINE_MS}`;
      this.report('header x-crossroad-deadline-ms', 'is no time in milliseconds', allowed);
    }
    return value;
  }

  coverage(): number | undefined {
    const text = this.raw.header('x-crossroad-coverage');
    if (text === undefined) {
      return undefined;
    }
    const value = Number(text);
    if (!COVERAGE_PATTERN.test(text) || value > 1) {
      this.report('header x-crossroad-coverage', 'is no share of shards', 'a number from 0 to 1');
    }
    return value;
  }

  idempotencyKey(): string | undefined {
    const text = this.raw.header('idempotency-key');
    if (text !== undefined && !IDEMPOTENCY_KEY_PATTERN.test(text)) {
      const allowed = '1 to 128 printable ASCII characters';
      this.report('header idempotency-key', 'is no idempotency key', allowed);
    }
    return text;
  }

  body(): Fields {
    if (this.raw.body === '') {
      return {};
    }
    let value: unknown;
    try {
      value = JSON.parse(this.raw.body);
    } catch {
      this.report('body', 'is not JSON', 'a JSON object with key, maxItems, payload');
      return {};
    }
    if (!isFields(value)) {
      this.report('body', 'is no JSON object', 'a JSON object with key, maxItems, payload');
      return {};
    }
    return value;
  }

  key(body: Fields): string | undefined {
    const value = body['key'];
    if (value === undefined) {
      return undefined;
    }
    if (typeof value !== 'string' || value.length === 0 || value.length > MAX_KEY_LENGTH) {
      this.report('body key', 'is no key', `text of 1 to ${MAX_KEY_LENGTH} characters`);
      return undefined;
    }
    return value;
  }

  maxItems(body: Fields): number | undefined {
    const value = body['maxItems'];
    if (value === undefined) {
      return undefined;
    }
    if (!Number.isInteger(value) || (value as number) < 1 || (value as number) > MAX_ITEMS) {
      this.report(
        'body maxItems',
        'is no number of items',
        `a whole number from 1 to ${MAX_ITEMS}`,
      );
      return undefined;
    }
    return value as number;
  }

  private report(place: string, problem: string, allowed: string): void {
    this.findings.push(finding(place, problem, allowed));
  }
}

const omitUndefined = <Value extends object>(value: Value): Value =>
  Object.fromEntries(Object.entries(value).filter(([, field]) => field !== undefined)) as Value;

/** Reads a request; Left lists all findings. */
export const readCallerRequest = (raw: RawCallerRequest): Either<Finding[], QueryRequest> => {
  const reader = new RequestReader(raw);
  const body = reader.body();
  const optional = omitUndefined({
    deadlineMs: reader.deadlineMs(),
    coverage: reader.coverage(),
    idempotencyKey: reader.idempotencyKey(),
    key: reader.key(body),
    maxItems: reader.maxItems(body),
  }) as Partial<QueryRequest>;
  const query: QueryRequest = {
    partner: raw.partner,
    route: raw.route,
    kind: identifier(reader.kind()),
    payload: body['payload'] ?? null,
    ...optional,
  };
  return reader.findings.length > 0 ? Left(reader.findings) : Right(query);
};
