/** The reference page of a node's settings. */
import { NODE_SETTINGS_FIELDS, NODE_SETTINGS_SCHEMA } from '../settings/node-settings-schema.js';
import { flagOf, SECRET_VARIABLE } from '../settings/read-node-settings.js';
import { formatHead, formatTable, type ReferencePage } from './reference-page.js';

type SettingsField = (typeof NODE_SETTINGS_FIELDS)[number];

const describeDefault = (field: SettingsField): string => {
  const absent = NODE_SETTINGS_SCHEMA.shape[field].safeParse(undefined);
  if (!absent.success) {
    return 'none, required';
  }
  return absent.data === undefined ? 'absent' : `\`${JSON.stringify(absent.data)}\``;
};

const describeFlag = (field: SettingsField): string =>
  field === 'peerSecret' ? `environment \`${SECRET_VARIABLE}\`` : `\`--${flagOf(field)}\``;

const formatField = (field: SettingsField): readonly string[] => [
  `\`${field}\``,
  describeFlag(field),
  describeDefault(field),
  NODE_SETTINGS_SCHEMA.shape[field].description ?? '',
];

/** Creates the page of settings. */
export const createSettingsPage = (): ReferencePage => ({
  fileName: 'settings.md',
  text: `${formatHead('Settings of a node', 'src/settings/node-settings-schema.ts')}
\`crossroad node\` reads a YAML file; a flag overrides the field of the file. A field that is
not listed here is a finding.

${formatTable(['field', 'overridden by', 'default', 'meaning'], NODE_SETTINGS_FIELDS.map(formatField))}
`,
});
