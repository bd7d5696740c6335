import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { formatCell, isAllowed, parseCell } from '../../src/table/cell.js';
import { COLUMNS } from '../../src/table/columns.js';
import { formatSheetCsv, parseSheetCsv } from '../../src/table/sheet-csv.js';
import type { RouteRow } from '../../src/table/route-row.js';
import { arbitraryRow, createRow } from './rows.js';

const read = (text: string): readonly RouteRow[] => parseSheetCsv(text, 'a.csv').unsafeCoerce();

const places = (text: string): string[] =>
  parseSheetCsv(text, 'a.csv')
    .swap()
    .unsafeCoerce()
    .map((finding) => finding.place);

describe('sheets as CSV', () => {
  it('sorts the rows on export, regardless of their order', () => {
    const rows = ['page', 'answer', 'swap'].map((kind) => createRow({ kind }));
    expect(formatSheetCsv(rows)).toBe(formatSheetCsv([...rows].reverse()));
    expect(read(formatSheetCsv(rows)).map((row) => row.kind)).toEqual(['answer', 'page', 'swap']);
  });

  it('parses its own output to the same rows', () => {
    const sheet = fc.uniqueArray(arbitraryRow(), {
      selector: (row) => `${row.partner}/${row.route}/${row.kind}`,
      maxLength: 20,
    });
    fc.assert(
      fc.property(sheet, (rows) => {
        const text = formatSheetCsv(rows);
        expect(formatSheetCsv(read(text))).toBe(text);
        expect(new Set(read(text))).toEqual(new Set(rows));
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it('accepts columns in any order, omitted defaults, a byte order mark and upper-case TRUE', () => {
    const text = 'kind,route,partner,services,safeToRepeat\npage,roster,ensemble,a-* b-1,TRUE\n';
    expect(read(`\uFEFF${text}`)).toEqual([
      createRow({ kind: 'page', route: 'roster', services: ['a-*', 'b-1'] }),
    ]);
  });

  it('reports all findings together, each with its line and column', () => {
    const header = COLUMNS.map((column) => column.name).join(',');
    const wrong = 'ensemble,Roster,page,,most,top,0,-1,1e9,2,maybe,0,x,1,true,covered';
    const found = parseSheetCsv(`${header}\n${wrong}\n`, 'a.csv').swap().unsafeCoerce();
    expect(found.map((finding) => finding.place.replace('a.csv:2 column ', ''))).toEqual([
      ...['route', 'services', 'fanOut', 'maxItems', 'weight', 'deadlineMs', 'coverage'],
      ...['safeToRepeat', 'concurrentLimit', 'perSecondLimit'],
    ]);
    expect(found.every((finding) => finding.allowed !== undefined)).toBe(true);
  });

  it.each([
    ['', ['a.csv:1']],
    ['partner,route,kind,services\n', ['a.csv:1 column safeToRepeat']],
    ['partner,route,kind,services,safeToRepeat,colour', ['a.csv:1 column "colour"']],
    ['partner,route,kind,services,safeToRepeat,kind', ['a.csv:1 column kind']],
    ['partner,route,kind,services,safeToRepeat\na,b,c,d,true,x', ['a.csv:2']],
    ['partner,route,kind,services,safeToRepeat\na,b,c,d,true\n\na,b,c,e,no', ['a.csv:4 row a/b/c']],
    ['partner,route\n"a', ['a.csv:2']],
  ])('reports the place of the problem in %j', (text, expected) => {
    expect(places(text)).toEqual(expected);
  });

  it('reports the line on which a row ends, with empty lines, quoted line breaks and CR LF', () => {
    const part = fc.record({
      blank: fc.nat(2),
      quoted: fc.boolean(),
      broken: fc.boolean(),
      wrong: fc.boolean(),
    });
    const newline = fc.constantFrom('\n', '\r\n');
    fc.assert(
      fc.property(fc.array(part, { maxLength: 6 }), newline, fc.boolean(), (parts, end, last) => {
        let text = 'route,kind,partner,services,safeToRepeat,weight';
        let line = 1;
        const expected: string[] = [];
        parts.forEach(({ blank, quoted, broken, wrong }, index) => {
          text += end.repeat(blank + 1);
          line += blank + 1;
          const quote = quoted || broken ? '"' : '';
          const services = `${quote}a${broken ? `${end}b` : ' b'}${quote}`;
          line += broken ? 1 : 0;
          text += `roster,k${index},ensemble,${services},yes,${wrong ? 'heavy' : 2}`;
          expected.push(...(wrong ? [`a.csv:${line} column weight`] : []));
        });
        text += last ? end : '';
        expect(expected.length === 0 ? read(text).length : places(text)).toEqual(
          expected.length === 0 ? parts.length : expected,
        );
      }),
      { seed: 2, numRuns: 300 },
    );
  });

  it('does not throw and reports a place with each finding, for any text', () => {
    const cell = fc.oneof(fc.string(), fc.constantFrom('true', 'page', '1', '"', '\n', ',', ''));
    const header = fc.constantFrom(formatSheetCsv([]), '', 'partner,route\n');
    const text = fc
      .tuple(header, fc.array(fc.array(cell, { maxLength: 18 }), { maxLength: 6 }))
      .map(([first, lines]) => first + lines.map((line) => line.join(',')).join('\n'));
    fc.assert(
      fc.property(text, (input) => {
        parseSheetCsv(input, 'a.csv').ifLeft((findings) => {
          expect(findings.length).toBeGreaterThan(0);
          expect(findings.every((finding) => /^a\.csv:\d+/.test(finding.place))).toBe(true);
        });
      }),
      { seed: 2, numRuns: 1_000 },
    );
  });
});

describe('cells', () => {
  it('are parsed from their formatted text to the same value, for every column', () => {
    fc.assert(
      fc.property(arbitraryRow(), (row) => {
        for (const column of COLUMNS) {
          const value = row[column.name];
          expect(isAllowed(column, value)).toBe(true);
          const text = formatCell(value);
          expect(parseCell(column, text).unsafeCoerce()).toEqual(value);
        }
      }),
      { seed: 3, numRuns: 100 },
    );
  });
});
