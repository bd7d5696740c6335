/** CBOR with inline records: within one message, objects with the same fields share the field names. */
import { Encoder, setSizeLimits } from 'cbor-x';
import { Either } from 'purify-ts';

/** Maximum number of elements of a decoded array, or of fields of a decoded map. */
const MAX_ELEMENTS = 1_000_000;

setSizeLimits({
  maxArraySize: MAX_ELEMENTS,
  maxMapSize: MAX_ELEMENTS,
  maxObjectSize: MAX_ELEMENTS,
});

const codec = new Encoder({ useRecords: true, tagUint8Array: false });

/** Encodes `value`; the bytes are self-contained, they depend on no earlier message. */
export const encodeCbor = (value: unknown): Buffer => codec.encode(value);

/** Decodes one value; Left for malformed or incomplete bytes. */
export const decodeCbor = (bytes: Uint8Array): Either<Error, unknown> =>
  Either.encase(() => codec.decode(bytes) as unknown);
