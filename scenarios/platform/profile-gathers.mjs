/**
 * Profiles gathers from the logs of gateways and feeders: the duration of each step, and the outcomes of the
 * choices of replicas.
 *
 *     fleetbench run SITE DAY --log all >LOG; node scenarios/platform/profile-gathers.mjs LOG [FROM TO]
 *
 * FROM and TO limit the gathers to seconds of the day. Log lines that a gateway dropped are missing; an attempt
 * whose end was not logged is counted as such. The log rounds times to milliseconds.
 */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';

const MS_PER_SECOND = 1_000;
const LINE = /^\s*([\d.]+) (\S+) (\{.*\})$/;

/** Multiple of the median duration of attempts above which an attempt is counted as answered slowly. */
const SLOW_RATIO = 4;

/** Slowdown of a replica from which on the gateway knew that it was slow. */
const KNOWN_SLOW = 3;

const [, , file, from = '0', to = 'Infinity'] = process.argv;

/** Reads the logged decisions by request, each with its time of the day in milliseconds. */
const readDecisions = async () => {
  const byRequest = new Map();
  for await (const text of createInterface({ input: createReadStream(file) })) {
    const match = LINE.exec(text);
    const entry = match === null ? undefined : parse(match[3]);
    if (entry?.part === 'request') {
      const at = Number(match[1]) * MS_PER_SECOND - (entry.agoMs ?? 0);
      const known = byRequest.get(entry.requestId) ?? [];
      known.push({ ...entry, at, node: match[2] });
      byRequest.set(entry.requestId, known);
    }
  }
  return byRequest;
};

const parse = (text) => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

const quantile = (values, share) => {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
};

const STEPS = [
  'subqueries sent, after the arrival',
  'subquery started at a feeder, after it was sent',
  'last attempt sent, after the subquery started',
  'attempt answered, after it was sent',
  'parts sent by a feeder, after the subquery started',
  'parts received, after they were sent',
  'answered, after the last parts',
  'answered, after the arrival',
];

const steps = new Map(STEPS.map((step) => [step, []]));
const messages = [];
const choices = new Map();

const recordDuration = (step, value) => {
  if (Number.isFinite(value)) {
    steps.get(step).push(Math.max(0, value));
  }
};

const latestTime = (decisions) => Math.max(...decisions.map(({ at }) => at));

const profileFeeder = (decisions, sentAt) => {
  const admitted = decisions.find(({ event }) => event === 'subquery-admitted');
  if (admitted === undefined) {
    return;
  }
  recordDuration(STEPS[1], admitted.at - sentAt);
  const sent = decisions.filter(({ event }) => event === 'attempt-sent');
  const done = decisions.find(({ event }) => event === 'parts-sent');
  recordDuration(STEPS[2], latestTime(sent) - admitted.at);
  decisions
    .filter(({ event, outcome }) => event === 'attempt-ended' && outcome === 'answered')
    .forEach(({ elapsedMs }) => recordDuration(STEPS[3], elapsedMs));
  recordDuration(STEPS[4], (done?.at ?? Number.NaN) - admitted.at);
};

const profileChoices = (decisions) => {
  const ends = new Map(
    decisions
      .filter(({ event }) => event === 'attempt-ended')
      .map((end) => [`${end.node} ${end.attempt}`, end]),
  );
  const medianMs = quantile(steps.get(STEPS[3]), 0.5) ?? Number.POSITIVE_INFINITY;
  for (const sent of decisions.filter(({ event }) => event === 'attempt-sent')) {
    const end = ends.get(`${sent.node} ${sent.attempt}`);
    const isSlow = end?.outcome === 'answered' && end.elapsedMs > medianMs * SLOW_RATIO;
    const outcome = isSlow ? 'answered slowly' : (end?.outcome ?? 'no end logged');
    const known = sent.slowdown >= KNOWN_SLOW ? 'known to be slow' : 'not known to be slow';
    const key = `${sent.reason}, ${known}: ${outcome}`;
    choices.set(key, (choices.get(key) ?? 0) + 1);
  }
};

const profileGather = (decisions) => {
  const admitted = decisions.find(({ event }) => event === 'request-admitted');
  const answered = decisions.find(({ event }) => event === 'request-answered');
  const isWanted =
    answered !== undefined &&
    admitted?.legs > 1 &&
    admitted.at >= Number(from) * MS_PER_SECOND &&
    admitted.at < Number(to) * MS_PER_SECOND;
  if (!isWanted) {
    return;
  }
  const own = decisions.filter(({ node }) => node === admitted.node);
  const subqueries = own.filter(({ event }) => event === 'subquery-sent');
  const parts = own.filter(({ event }) => event === 'subquery-answered');
  messages.push(subqueries.length + parts.length);
  recordDuration(STEPS[0], latestTime(subqueries) - admitted.at);
  for (const { peer, at } of subqueries) {
    const atFeeder = decisions.filter(({ node }) => node === peer);
    profileFeeder(atFeeder, at);
    const done = atFeeder.find(({ event }) => event === 'parts-sent');
    const received = parts.find((each) => each.isFinal && done && each.at >= done.at - 1);
    recordDuration(STEPS[5], (received?.at ?? Number.NaN) - (done?.at ?? Number.NaN));
  }
  recordDuration(STEPS[6], answered.at - latestTime(parts));
  recordDuration(STEPS[7], answered.at - admitted.at);
  profileChoices(decisions);
};

for (const decisions of (await readDecisions()).values()) {
  profileGather(decisions);
}
console.log(`${messages.length} gathers whose decisions were logged`);
console.log(`messages to and from feeders: ${quantile(messages, 0.5)} (median)`);
for (const [step, values] of steps) {
  const [p50, p90] = [quantile(values, 0.5), quantile(values, 0.9)];
  console.log(`${step}: ${p50?.toFixed(0)} ms (median), ${p90?.toFixed(0)} ms (p90)`);
}
for (const [choice, count] of [...choices].sort(([, left], [, right]) => right - left)) {
  console.log(`${choice}: ${count}`);
}
