/** Compiles `src/` into `out/`, without type checks, for tests that start processes. */
import { execFile } from 'node:child_process';
import { mkdir, mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';
import { promisify } from 'node:util';
import ts from 'typescript';

const ROOT = resolve(import.meta.dirname, '../..');

/** A compiled copy of the sources. */
export interface CompiledSource {
  /** Path of the compiled `main.js`. */
  readonly main: string;
  remove(): Promise<void>;
}

const compileFile = async (from: string, to: string): Promise<void> => {
  const text = await readFile(from, 'utf8');
  const { outputText } = ts.transpileModule(text, {
    compilerOptions: { target: ts.ScriptTarget.ES2022, module: ts.ModuleKind.ESNext },
  });
  await mkdir(dirname(to), { recursive: true });
  await writeFile(to, outputText);
};

const compileFolder = async (name: string, to: string): Promise<void> => {
  const files = await readdir(join(ROOT, name), { recursive: true });
  await Promise.all(
    files
      .filter((file) => file.endsWith('.ts'))
      .map((file) => compileFile(join(ROOT, name, file), join(to, file.replace(/\.ts$/, '.js')))),
  );
};

const createFolder = async (): Promise<string> => {
  await mkdir(join(ROOT, 'out'), { recursive: true });
  return mkdtemp(join(ROOT, 'out/compiled-'));
};

/** Compiles all sources into a new folder. */
export const compileSource = async (): Promise<CompiledSource> => {
  const folder = await createFolder();
  await compileFolder('src', folder);
  return {
    main: join(folder, 'main.js'),
    remove: () => rm(folder, { recursive: true, force: true }),
  };
};

/** Bundles the program for the users' platform, in the same way as its deployment. */
export const bundlePlatform = async (): Promise<CompiledSource> => {
  const folder = await createFolder();
  const main = join(folder, 'gateway.cjs');
  await promisify(execFile)(process.execPath, [join(ROOT, 'deploy/bundle.mjs'), main]);
  return {
    main,
    remove: () => rm(folder, { recursive: true, force: true }),
  };
};
