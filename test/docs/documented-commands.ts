/** Finds invocations of `crossroad` in Markdown documents and parses them as a shell does. */

/** An invocation of `crossroad` in a document. */
export interface Invocation {
  /** The arguments of `crossroad`, without quotes. */
  readonly words: readonly string[];
  /** True for an invocation in a code block, which can be run unchanged. */
  readonly whole: boolean;
}

/** Matches an operator that ends a command in a shell. */
const COMMAND_END = /^(?:[|;&>#]|\d>)/;
/** Placeholder for further arguments or for the value of a flag. */
const ELLIPSIS = '…';

/** Splits a command as a shell does: removes quotes, and stops at a pipe or another operator. */
const splitWords = (command: string): string[] => {
  const words: string[] = [];
  for (const [word] of command.matchAll(/(?:'[^']*'|"[^"]*"|[^\s'"])+/g)) {
    if (COMMAND_END.test(word)) {
      break;
    }
    words.push(word.replaceAll(/'([^']*)'|"([^"]*)"/g, '$1$2'));
  }
  return words.filter((word, index) => word !== ELLIPSIS || words[index - 1]?.startsWith('--'));
};

/** Lists the lines of code blocks, indented or fenced, with continuation lines joined. */
export const listCodeLines = (text: string): string[] => {
  const lines: string[] = [];
  let fenced = false;
  for (const line of text.replaceAll(/\\\n\s*/g, '').split('\n')) {
    fenced = line.trimStart().startsWith('```') ? !fenced : fenced;
    if (fenced || /^\s{4,}\S/.test(line)) {
      lines.push(line.trim());
    }
  }
  return lines;
};

const listInline = (text: string): string[] =>
  [...text.matchAll(/`(crossroad\s[^`]+)`/g)].map(([, command]) => (command ?? '').trim());

const readInvocation = (line: string, whole: boolean): Invocation[] => {
  const found = /(?:^|[\s;&|])crossroad\s+(.*)$/s.exec(line)?.[1];
  return found === undefined ? [] : [{ words: splitWords(found), whole }];
};

/** Lists all invocations in a document. */
export const listInvocations = (text: string): Invocation[] => [
  ...listCodeLines(text).flatMap((line) => readInvocation(line, true)),
  ...listInline(text).flatMap((command) => readInvocation(command, false)),
];
