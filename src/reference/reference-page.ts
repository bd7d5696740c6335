/** Reference pages, which are generated from the code that they describe. */

/** One page under `docs/reference`. */
export interface ReferencePage {
  /** Name of the file. */
  readonly fileName: string;
  /** Markdown text, not yet formatted. */
  readonly text: string;
}

/** Formats the head of a page: its title and the source that it is generated from. */
export const formatHead = (title: string, source: string): string =>
  `# ${title}\n\nGenerated from \`${source}\` by \`npm run reference\`; do not edit by hand.\n`;

const escapeCell = (text: string): string => text.replaceAll('|', '\\|').replaceAll('\n', ' ');

/** Formats a Markdown table. */
export const formatTable = (
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string => {
  const line = (cells: readonly string[]): string => `| ${cells.map(escapeCell).join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n');
};
