/**
 * Reads fields of decoded JSON. Each field that is missing or of the wrong type yields a finding with its place, so that all
 * problems are reported together.
 */
import { type Either, Left, Right } from 'purify-ts/Either';
import { JsonList } from '../protocol/codec/json-lists.js';
import type { Finding } from '../table/finding.js';

/**
 * Maximum number of findings of one value. A list of a million malformed items would otherwise take a hundred times its own
 * size; once the limit is reached, the rest of a list is not read.
 */
const MAX_FINDINGS = 64;

/** Maximum length of a name, in characters. */
const MAX_NAME_LENGTH = 1_024;

type Fields = Readonly<Record<string, unknown>>;

const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Reads the fields of one object; readers of nested objects add to the same findings. */
export class FieldReader {
  private readonly fields: Fields;

  constructor(
    value: unknown,
    private readonly place: string,
    readonly findings: Finding[] = [],
  ) {
    this.fields = isFields(value) ? value : {};
    if (!isFields(value)) {
      this.report('', 'is not an object');
    }
  }

  has(name: string): boolean {
    return this.fields[name] !== undefined && this.fields[name] !== null;
  }

  text(name: string, fallback?: string): string {
    const value = this.fields[name];
    if (typeof value === 'string') {
      return value;
    }
    return this.missing(name, value, 'a string', fallback, '');
  }

  /** Reads a string that is kept for as long as its object is known, and whose length is therefore limited. */
  name(name: string): string {
    const value = this.text(name);
    if (value.length > MAX_NAME_LENGTH) {
      this.report(name, 'is too long', `at most ${MAX_NAME_LENGTH} characters`);
    }
    return value;
  }

  /** Reads a finite number of at least `minimum`. */
  number(name: string, minimum = 0, fallback?: number): number {
    const value = this.fields[name];
    if (typeof value === 'number' && Number.isFinite(value) && value >= minimum) {
      return value;
    }
    return this.missing(name, value, `a number of at least ${minimum}`, fallback, minimum);
  }

  flag(name: string, fallback?: boolean): boolean {
    const value = this.fields[name];
    if (typeof value === 'boolean') {
      return value;
    }
    return this.missing(name, value, 'true or false', fallback, false);
  }

  /** Reads a list of strings; `read`, if given, converts each of them. */
  texts(name: string): readonly string[];
  texts<Value>(name: string, read: (text: string, index: number) => Value): readonly Value[];
  texts(name: string, read: (text: string, index: number) => unknown = (text) => text) {
    return this.readItems(name, (item, index) => {
      if (typeof item === 'string') {
        return [read(item, index)];
      }
      this.report(`${name}[${index}]`, 'is not a string');
      return [];
    });
  }

  /** Reads a list of objects; `read` gets a reader, with its place, for each of them. */
  objects<Value>(name: string, read: (object: FieldReader) => Value): readonly Value[] {
    return this.readItems(name, (item, index) => [
      read(new FieldReader(item, this.placeOf(`${name}[${index}]`), this.findings)),
    ]);
  }

  object(name: string): FieldReader {
    return new FieldReader(this.fields[name], this.placeOf(name), this.findings);
  }

  /** Returns the value of a field without checks. */
  raw(name: string): unknown {
    return this.fields[name];
  }

  /** Adds a finding; has no effect if there are too many. */
  report(name: string, problem: string, allowed?: string): void {
    if (this.hasMaxFindings) {
      return;
    }
    this.findings.push({
      severity: 'error',
      place: this.placeOf(name),
      problem,
      ...(allowed !== undefined && { allowed }),
    });
  }

  /** Returns `value` if there are no findings, otherwise all findings. */
  result<Value>(value: Value): Either<readonly Finding[], Value> {
    return this.findings.length === 0 ? Right(value) : Left(this.findings);
  }

  private get hasMaxFindings(): boolean {
    return this.findings.length >= MAX_FINDINGS;
  }

  /** Reads the items of a list until there are too many findings. */
  private readItems<Value>(
    name: string,
    read: (item: unknown, index: number) => readonly Value[],
  ): readonly Value[] {
    const values: Value[] = [];
    let index = 0;
    for (const item of this.items(name)) {
      if (this.hasMaxFindings) {
        break;
      }
      values.push(...read(item, index));
      index += 1;
    }
    return values;
  }

  private items(name: string): Iterable<unknown> {
    const value = this.fields[name];
    if (Array.isArray(value) || value instanceof JsonList) {
      return value;
    }
    return this.missing<Iterable<unknown>>(name, value, 'a list', undefined, []);
  }

  private missing<Value>(
    name: string,
    value: unknown,
    allowed: string,
    fallback: Value | undefined,
    placeholder: Value,
  ): Value {
    if (value === undefined && fallback !== undefined) {
      return fallback;
    }
    this.report(name, value === undefined ? 'is missing' : 'has the wrong type or size', allowed);
    return placeholder;
  }

  private placeOf(name: string): string {
    return name === '' ? this.place : `${this.place}.${name}`;
  }
}
