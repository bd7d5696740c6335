/** All subcommands, in the order in which the help lists them. */
import { checkCommand } from './check.js';
import type { Command } from './command.js';
import { demoCommand } from './demo.js';
import { experimentCommand } from './experiment.js';
import { explainCommand } from './explain.js';
import { keyCommand } from './key.js';
import { loadCommand } from './load.js';
import { nodeCommand } from './node.js';
import { planCommand } from './plan.js';
import { platformCommand } from './platform.js';
import { replicaCommand } from './replica.js';
import { replayCommand } from './replay.js';
import { statusCommand } from './status.js';
import { simulateCommand } from './simulate.js';
import { tableCommand } from './table.js';

/** The subcommands of `crossroad`. */
export const COMMANDS: readonly Command[] = [
  demoCommand,
  nodeCommand,
  tableCommand,
  statusCommand,
  checkCommand,
  planCommand,
  keyCommand,
  platformCommand,
  replicaCommand,
  loadCommand,
  experimentCommand,
  simulateCommand,
  replayCommand,
  explainCommand,
];
