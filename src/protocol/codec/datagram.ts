/** Encoding of datagrams: a truncated HMAC of the body, followed by the body in CBOR. */
import { type Either, Left, Right } from 'purify-ts';
import type { MembershipMessage } from '../membership-messages.js';
import { decodeCbor, encodeCbor } from './cbor.js';
import { checkDatagram } from './message-shapes.js';

/** Length of the HMAC before the body, in bytes; truncated SHA-256. */
export const DATAGRAM_TAG_BYTES = 16;

/** Maximum length of a datagram that is sent or accepted, in bytes; fits an Ethernet frame. */
export const MAX_DATAGRAM_BYTES = 1_400;

/** Computes the tag of a body; the driver supplies the key. */
export type ComputeTag = (body: Uint8Array) => Buffer;

/** Compares two tags in constant time. */
export type CompareTags = (left: Uint8Array, right: Uint8Array) => boolean;

/** Encodes a message; Left if the datagram is too long. */
export const encodeDatagram = (
  message: MembershipMessage,
  computeTag: ComputeTag,
): Either<string, Buffer> => {
  const body = encodeCbor(message);
  const bytes = Buffer.concat([computeTag(body), body]);
  return bytes.length > MAX_DATAGRAM_BYTES
    ? Left(`is ${bytes.length} bytes long, above ${MAX_DATAGRAM_BYTES}`)
    : Right(bytes);
};

/** Verifies the tag, decodes the message and checks its shape; Left describes the problem. */
export const decodeDatagram = (
  bytes: Uint8Array,
  computeTag: ComputeTag,
  compareTags: CompareTags,
): Either<string, MembershipMessage> => {
  if (bytes.length <= DATAGRAM_TAG_BYTES || bytes.length > MAX_DATAGRAM_BYTES) {
    return Left(`is ${bytes.length} bytes long`);
  }
  const body = bytes.subarray(DATAGRAM_TAG_BYTES);
  if (!compareTags(bytes.subarray(0, DATAGRAM_TAG_BYTES), computeTag(body))) {
    return Left('was not signed with the shared secret');
  }
  return decodeCbor(body)
    .mapLeft(() => 'is not CBOR')
    .chain(checkDatagram);
};
