/** Encodes objects some parts of which are already JSON text, since no encoder accepts very deep values. */

/** JSON text that stands for a value. */
export class RawJson {
  constructor(readonly text: string) {}
}

/** Encodes a value with all {@link RawJson} in it. */
export const encodeJson = (value: unknown): string => {
  const texts: string[] = [];
  const mark = `raw-${Math.random()}-`;
  const encoded = JSON.stringify(value, (_key, each: unknown) =>
    each instanceof RawJson ? `${mark}${texts.push(each.text) - 1}.` : each,
  );
  return texts.length === 0
    ? encoded
    : encoded.replace(
        new RegExp(`"${mark}(\\d+)\\."`, 'g'),
        (_match, index: string) => texts[Number(index)] ?? '',
      );
};
