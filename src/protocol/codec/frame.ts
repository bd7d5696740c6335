/** Frames of a connection between nodes: a length of four bytes (big-endian), followed by the body. */

/** Size of the length field before each body, in bytes. */
export const FRAME_HEADER_BYTES = 4;

/** Prepends the length to `body`. */
export const encodeFrame = (body: Buffer): Buffer => {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, FRAME_HEADER_BYTES);
  return frame;
};
