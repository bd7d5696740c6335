#!/usr/bin/env node
/** Entry point of the `crossroad` command. */
import { runCommandLine } from './cli/run-command-line.js';

process.exitCode = await runCommandLine(process.argv.slice(2));
