/** The list of generated reference pages. */
import { formatColumnReference } from '../table/format-column-reference.js';
import { createCommandsPage, createExitCodesPage } from './commands-page.js';
import { createLogsPage } from './logs-page.js';
import { createMetricsPage } from './metrics-page.js';
import { createOperatorHttpPage } from './operator-http-page.js';
import type { ReferencePage } from './reference-page.js';
import { createSettingsPage } from './settings-page.js';

/** Creates all pages. */
export const listReferencePages = (): readonly ReferencePage[] => [
  createSettingsPage(),
  { fileName: 'table-columns.md', text: formatColumnReference() },
  createCommandsPage(),
  createExitCodesPage(),
  createMetricsPage(),
  createOperatorHttpPage(),
  createLogsPage(),
];
