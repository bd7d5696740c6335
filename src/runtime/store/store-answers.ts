/** Parses the platform's answers; an answer of unexpected shape is an error. */
import { Either, Left, Right } from 'purify-ts';
import type { Machine, StoreObject } from '../../catalog/store-object.js';
import { checkStoreObject, isMachine } from '../../protocol/codec/store-object-shape.js';
import { type Fields, isCount, isFields } from '../../protocol/codec/shape.js';

/** Changes of the store, from a watch or from a list of objects. */
export interface StoreChanges {
  readonly after: number;
  readonly through: number;
  readonly objects: readonly StoreObject[];
  /** One sentence for each object that was omitted because of its shape. */
  readonly problems: readonly string[];
}

const parseFields = (text: string): Either<string, Fields> =>
  Either.encase(() => JSON.parse(text) as unknown)
    .mapLeft(() => 'the answer is not JSON')
    .chain((value) => (isFields(value) ? Right(value) : Left('the answer has no fields')));

const nameOf = (value: unknown): string =>
  isFields(value) && typeof value['name'] === 'string' ? value['name'].slice(0, 100) : 'no name';

const collectObjects = (
  values: readonly unknown[],
  range: Pick<StoreChanges, 'after' | 'through'>,
): StoreChanges => {
  const objects: StoreObject[] = [];
  const problems: string[] = [];
  for (const value of values) {
    checkStoreObject(value).caseOf({
      Left: (problem) => problems.push(`Object ${nameOf(value)} is refused: ${problem}.`),
      Right: (object) => objects.push(object),
    });
  }
  return { ...range, objects, problems };
};

/** Parses a line of a watch. */
export const readWatchLine = (line: string): Either<string, StoreChanges> =>
  parseFields(line).chain((fields): Either<string, StoreChanges> => {
    const { after, through, objects } = fields;
    return isCount(after) && isCount(through) && Array.isArray(objects)
      ? Right(collectObjects(objects, { after, through }))
      : Left('the line of the watch is malformed');
  });

/** Parses the answer to `GET /v1/objects?after=`. */
export const readObjectList = (text: string, after: number): Either<string, StoreChanges> =>
  parseFields(text).chain((fields): Either<string, StoreChanges> => {
    const { revision, objects } = fields;
    return isCount(revision) && Array.isArray(objects)
      ? Right(collectObjects(objects, { after, through: revision }))
      : Left('the list of objects is malformed');
  });

/** Parses an object. */
export const readObject = (text: string): Either<string, StoreObject> =>
  parseFields(text).chain(checkStoreObject);

/** Parses the machine list; machines of unexpected shape are omitted. */
export const readMachines = (text: string): Either<string, Machine[]> =>
  parseFields(text).chain((fields): Either<string, Machine[]> => {
    const { machines } = fields;
    return Array.isArray(machines)
      ? Right(machines.filter(isMachine))
      : Left('the machine list is malformed');
  });

/** Version and revision that a write produced. */
export interface WriteResult {
  readonly version: number;
  readonly revision: number;
}

/** Parses the answer to an accepted write. */
export const readWritten = (text: string): Either<string, WriteResult> =>
  parseFields(text).chain((fields): Either<string, WriteResult> => {
    const { version, revision } = fields;
    return isCount(version) && isCount(revision)
      ? Right({ version, revision })
      : Left('the answer to the write is malformed');
  });

/** Parses the current version of the object from the answer to a refused write. */
export const readCurrentVersion = (text: string): Either<string, number> =>
  parseFields(text).chain((fields): Either<string, number> => {
    const { version } = fields;
    return isCount(version) ? Right(version) : Left('the refusal of the write is malformed');
  });
