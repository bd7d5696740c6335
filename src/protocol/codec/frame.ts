/** Frames of a connection between nodes: four bytes of length (big-endian), then a body. */

/** Bytes of the length before each frame. */
export const FRAME_HEADER_BYTES = 4;

/** Puts the length before `body`. */
export const encodeFrame = (body: Buffer): Buffer => {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, FRAME_HEADER_BYTES);
  return frame;
};
