import { createServer } from 'node:net';
import { once } from 'node:events';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { ExitCode } from '../../src/cli/exit-code.js';
import { runCommandLine } from '../../src/cli/run-command-line.js';

let printed = '';
let errors = '';

beforeEach(() => {
  printed = '';
  errors = '';
  vi.spyOn(process.stdout, 'write').mockImplementation((text) => {
    printed += String(text);
    return true;
  });
  vi.spyOn(process.stderr, 'write').mockImplementation((text) => {
    errors += String(text);
    return true;
  });
});

afterEach(() => {
  vi.restoreAllMocks();
});

describe('the command line', () => {
  it('lists the commands for --help and returns done', async () => {
    expect(await runCommandLine(['--help'])).toBe(ExitCode.done);
    expect(printed).toContain('node         run a node');
  });

  it('returns a usage error without a command', async () => {
    expect(await runCommandLine([])).toBe(ExitCode.usage);
  });

  it('reports an unknown command', async () => {
    expect(await runCommandLine(['nod'])).toBe(ExitCode.usage);
    expect(errors).toBe('crossroad: unknown command "nod"; see crossroad --help\n');
  });

  it.each(['node', 'table', 'replica', 'load'])('prints the help of %s', async (name) => {
    expect(await runCommandLine([name, '--help'])).toBe(ExitCode.done);
    expect(printed).toMatch(new RegExp(`^Usage: crossroad ${name}`));
  });

  it('fails with a one-line error if a port is in use', async () => {
    const existingServer = createServer().listen(0, '127.0.0.1');
    await once(existingServer, 'listening');
    const address = existingServer.address();
    const port = typeof address === 'object' && address !== null ? address.port : 0;
    expect(await runCommandLine(['platform', '--listen', `127.0.0.1:${port}`])).toBe(
      ExitCode.failed,
    );
    expect(errors).toMatch(/^crossroad platform: listen EADDRINUSE[^\n]*\n$/);
    existingServer.close();
  });
});
