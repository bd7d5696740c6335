/** Prepares the folder of a way: an existing folder, or a revision that is checked out into the output folder. */
import { execFileSync } from 'node:child_process';
import { cpSync, existsSync, mkdirSync, symlinkSync } from 'node:fs';
import { join, resolve } from 'node:path';

const REVISION = 'git:';

const commitOf = (root, revision) =>
  execFileSync('git', ['rev-parse', '--verify', `${revision}^{commit}`], {
    cwd: root,
    encoding: 'utf8',
  }).trim();

/** Checks out a commit unless an earlier call has done so. */
const checkOut = (root, commit, folder) => {
  if (existsSync(folder)) {
    return;
  }
  mkdirSync(folder, { recursive: true });
  const archive = `${folder}.tar`;
  execFileSync('git', ['archive', '--output', archive, commit], { cwd: root });
  execFileSync('tar', ['-xf', archive, '-C', folder]);
  symlinkSync(join(root, 'node_modules'), join(folder, 'node_modules'));
};

/** Parses `NAME=FOLDER` or `NAME=git:REVISION` and prepares the folder; a revision uses the modules installed in `root`. */
export const prepareWay = (text, root, out) => {
  const split = text.indexOf('=');
  const name = text.slice(0, split);
  const source = text.slice(split + 1);
  if (!/^[\w.-]+$/.test(name) || source === '') {
    throw new Error(`invalid way: ${text}; expected NAME=FOLDER or NAME=git:REVISION`);
  }
  if (!source.startsWith(REVISION)) {
    return { name, folder: resolve(source) };
  }
  const commit = commitOf(root, source.slice(REVISION.length));
  const folder = join(out, `tree-${commit}`);
  checkOut(root, commit, folder);
  return { name, folder };
};

/** Copies the journal entries of a way unchanged to the repository; existing files are kept. */
export const collectJournal = ({ folder }, root) => {
  const journal = join(folder, 'journal');
  if (resolve(folder) !== resolve(root) && existsSync(journal)) {
    cpSync(journal, join(root, 'journal'), { recursive: true, force: false });
  }
};
