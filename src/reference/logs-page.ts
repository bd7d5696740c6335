/** The reference page of a gateway's log events, from their descriptions in the code. */
import {
  STATE_CHANGE_DESCRIPTIONS,
  DECISION_DESCRIPTIONS,
} from '../gateway/log/log-descriptions.js';
import { formatHead, formatTable, type ReferencePage } from './reference-page.js';

const formatEvents = (descriptions: Readonly<Record<string, string>>): string =>
  formatTable(
    ['event', 'meaning'],
    Object.entries(descriptions).map(([event, description]) => [`\`${event}\``, description]),
  );

/** Creates the page of all events that a gateway logs. */
export const createLogsPage = (): ReferencePage => ({
  fileName: 'logs.md',
  text: `${formatHead('Logs of a gateway', 'src/gateway/log')}
One JSON object a line on standard output, with \`time\` (milliseconds since the epoch), \`node\`, \`level\`,
\`part\` and \`event\`. The other fields are typed in \`src/gateway/log/log-event.ts\`.

## Decisions about a request

Each has \`requestId\` and \`agoMs\`: the lines of a request are written when it ends, and \`agoMs\` tells how
long before that the decision was made. Requests that failed, were late or partial, or whose callers left
are logged whole; of the others one in 64, chosen by the identifier, the same on all gateways. At most 100
lines a second are written in the long run, and 600 at once; \`lines-dropped\` counts the rest.

${formatEvents(DECISION_DESCRIPTIONS)}

## Changes of what a gateway believes

${formatEvents(STATE_CHANGE_DESCRIPTIONS)}
`,
});
