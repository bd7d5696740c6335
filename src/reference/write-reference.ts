/** Writes the generated pages to the folder given as the only argument. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { listReferencePages } from './list-reference-pages.js';

const [folder] = process.argv.slice(2);

if (folder === undefined) {
  process.stderr.write('usage: write-reference <folder>\n');
  process.exitCode = 2;
} else {
  for (const { fileName, text } of listReferencePages()) {
    writeFileSync(join(folder, fileName), text);
  }
}
