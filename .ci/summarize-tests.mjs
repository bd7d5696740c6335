/**
 * Reads vitest's JSON results and the list of known failures.
 *
 * usage: summarize-tests.mjs RESULTS KNOWN_RED COUNTS
 *
 * Prints each failing test, and each known one that failed or that no longer does. Writes
 * 'passed failed' to COUNTS; a known failure counts as neither. Exits 1 when any other test failed,
 * when a test file could not be run, or when no test ran.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';

const MOST_KNOWN_FAILURES = 4;

const [, , resultsFile, knownRedFile, countsFile] = process.argv;

/** One line each: `test name, cause, issue`; the name is the part before the first comma. */
const readKnownFailures = (file) => {
  if (!existsSync(file)) {
    return [];
  }
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.map((line) => line.trim()).filter((line) => line !== '' && !line.startsWith('#'));
};

const results = JSON.parse(readFileSync(resultsFile, 'utf8'));
const knownFailures = readKnownFailures(knownRedFile);
const knownNames = new Set(knownFailures.map((line) => line.split(',')[0].trim()));
const tests = results.testResults.flatMap((file) => file.assertionResults);
const failedTests = tests.filter((test) => test.status === 'failed');
const unknownFailures = failedTests.filter((test) => !knownNames.has(test.fullName));
const brokenFiles = results.testResults.filter(
  (file) => file.status === 'failed' && file.assertionResults.length === 0,
);
const passedCount = tests.filter((test) => test.status === 'passed').length;
const failedCount = unknownFailures.length + brokenFiles.length;

for (const line of knownFailures) {
  const stillRed = failedTests.some((test) => test.fullName === line.split(',')[0].trim());
  console.log(`known red (${stillRed ? 'failed' : 'did not fail'}): ${line}`);
}
for (const test of unknownFailures) {
  console.log(`failed: ${test.fullName}`);
}
for (const file of brokenFiles) {
  console.log(`could not run: ${file.name}`);
}
if (knownFailures.length > MOST_KNOWN_FAILURES) {
  console.log(`KNOWN-RED.txt lists ${knownFailures.length} tests; ${MOST_KNOWN_FAILURES} at most`);
}
writeFileSync(countsFile, `${passedCount} ${failedCount}\n`);
const isGreen = failedCount === 0 && passedCount > 0 && knownFailures.length <= MOST_KNOWN_FAILURES;
process.exitCode = isGreen ? 0 : 1;
