/**
 * Parses JSON objects with long lists in bounded memory. Parsed values may take 29 times the size of their text. A text that
 * would take too much is parsed in parts: the items of its lists one after the other, each when it is reached.
 */

/** Bytes of the heap that a list or object takes, and that other values take for each character of their text, at most. */
const CONTAINER_BYTES = 56;
const CHARACTER_BYTES = 8;

/** Maximum number of fields of an object that is parsed in parts. */
const MAX_FIELDS = 64;

/** Levels of objects that are parsed in parts: an item of a list, and an object in it. */
const PARTIAL_LEVELS = 2;

const QUOTE = '"'.charCodeAt(0);
const BACKSLASH = '\\'.charCodeAt(0);
const COMMA = ','.charCodeAt(0);
const COLON = ':'.charCodeAt(0);
const OPEN_BRACE = '{'.charCodeAt(0);
const CLOSE_BRACE = '}'.charCodeAt(0);
const OPEN_BRACKET = '['.charCodeAt(0);
const CLOSE_BRACKET = ']'.charCodeAt(0);
const SPACE = ' '.charCodeAt(0);

const countWithin = (text: string, character: string, maximum: number): number => {
  let count = 0;
  for (let index = text.indexOf(character); index >= 0 && count <= maximum; count += 1) {
    index = text.indexOf(character, index + 1);
  }
  return count;
};

/** Whether the values of a text fit into the memory; characters within strings are counted as if they were values. */
const fits = (text: string, maxBytes: number): boolean => {
  const rest = maxBytes - text.length * CHARACTER_BYTES;
  const maximum = rest / CONTAINER_BYTES;
  return (
    maximum >= 0 && countWithin(text, '{', maximum) + countWithin(text, '[', maximum) <= maximum
  );
};

const parse = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Index after spaces and line ends. */
const skipSpace = (text: string, start: number): number => {
  let index = start;
  while (index < text.length && text.charCodeAt(index) <= SPACE) {
    index += 1;
  }
  return index;
};

const isEscaped = (text: string, index: number): boolean => {
  let backslashes = 0;
  while (text.charCodeAt(index - 1 - backslashes) === BACKSLASH) {
    backslashes += 1;
  }
  return backslashes % 2 === 1;
};

/** Index after the string that begins at `start`. */
const endOfString = (text: string, start: number): number => {
  let index = text.indexOf('"', start + 1);
  while (index >= 0 && isEscaped(text, index)) {
    index = text.indexOf('"', index + 1);
  }
  return index < 0 ? text.length : index + 1;
};

const isOpening = (code: number): boolean => code === OPEN_BRACE || code === OPEN_BRACKET;

const isClosing = (code: number): boolean => code === CLOSE_BRACE || code === CLOSE_BRACKET;

/** Index after the list or object that begins at `start`. */
const endOfContainer = (text: string, start: number): number => {
  let depth = 0;
  let index = start;
  while (index < text.length) {
    const code = text.charCodeAt(index);
    if (code === QUOTE) {
      index = endOfString(text, index);
      continue;
    }
    depth += Number(isOpening(code)) - Number(isClosing(code));
    index += 1;
    if (depth === 0) {
      break;
    }
  }
  return index;
};

/** Index after the value that begins at `start`; `start` itself if there is none. */
const endOfValue = (text: string, start: number): number => {
  const first = text.charCodeAt(start);
  if (first === QUOTE) {
    return endOfString(text, start);
  }
  if (isOpening(first)) {
    return endOfContainer(text, start);
  }
  let index = start;
  while (index < text.length) {
    const code = text.charCodeAt(index);
    if (code === COMMA || code <= SPACE || isClosing(code)) {
      break;
    }
    index += 1;
  }
  return index;
};

/** The items of a list. Each is parsed when it is reached; parts of it that take too much memory are left out. */
export class JsonList implements Iterable<unknown> {
  constructor(
    private readonly text: string,
    private readonly maxBytes: number,
  ) {}

  *[Symbol.iterator](): Generator<unknown, void, undefined> {
    const { text, maxBytes } = this;
    let start = skipSpace(text, 1);
    let hasMore = text.charCodeAt(start) !== CLOSE_BRACKET;
    while (hasMore) {
      const end = endOfValue(text, start);
      const next = skipSpace(text, end);
      hasMore = text.charCodeAt(next) === COMMA;
      const isLast = text.charCodeAt(next) === CLOSE_BRACKET;
      yield hasMore || isLast ? parseItem(text.slice(start, end), maxBytes) : undefined;
      start = skipSpace(text, next + 1);
    }
  }
}

/** Returns the texts of the fields of an object by their names; undefined if it is malformed or has too many. */
const fieldTexts = (text: string): ReadonlyMap<string, string> | undefined => {
  const fields = new Map<string, string>();
  let index = skipSpace(text, 0);
  const isObject = text.charCodeAt(index) === OPEN_BRACE;
  let hasMore = isObject;
  while (hasMore && fields.size < MAX_FIELDS) {
    const nameStart = skipSpace(text, index + 1);
    const nameEnd = endOfValue(text, nameStart);
    const name = parse(text.slice(nameStart, nameEnd));
    const colon = skipSpace(text, nameEnd);
    const start = skipSpace(text, colon + 1);
    const end = endOfValue(text, start);
    if (typeof name !== 'string' || text.charCodeAt(colon) !== COLON) {
      return undefined;
    }
    fields.set(name, text.slice(start, end));
    index = skipSpace(text, end);
    hasMore = text.charCodeAt(index) === COMMA;
  }
  const isWhole =
    text.charCodeAt(index) === CLOSE_BRACE && skipSpace(text, index + 1) === text.length;
  return isObject && isWhole ? fields : undefined;
};

const mapFields = (
  fields: ReadonlyMap<string, string> | undefined,
  read: (text: string) => unknown,
): unknown => fields && Object.fromEntries([...fields].map(([name, text]) => [name, read(text)]));

const parseItem = (text: string, maxBytes: number, levels = PARTIAL_LEVELS): unknown => {
  if (fits(text, maxBytes)) {
    return parse(text);
  }
  return levels === 0
    ? undefined
    : mapFields(fieldTexts(text), (field) => parseItem(field, maxBytes, levels - 1));
};

/**
 * Parses an object. If its values would take too much memory, its lists are {@link JsonList}s.
 *
 * @param maxBytes - bytes of the heap that values parsed at one time may take
 * @returns the object, or undefined if it is malformed
 */
export const parseJsonLists = (text: string, maxBytes: number): unknown => {
  if (fits(text, maxBytes)) {
    return parse(text);
  }
  return mapFields(fieldTexts(text), (field) =>
    field.startsWith('[') ? new JsonList(field, maxBytes) : parseItem(field, maxBytes, 0),
  );
};
