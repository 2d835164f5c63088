// The verdict on a test run: vitest's JSON report, its exit code, and KNOWN-RED.txt of the root.
//   node .ci/verdict.mjs REPORT ERRORS CODE [KNOWN-RED]
// A line of KNOWN-RED.txt is `test | cause | issue`: the test's full name as vitest tells it, why it fails,
// and the issue that mends it. Only these may fail; they are printed. Red: more than three, one that passes
// or does not exist, and any other failure. The last line counts the tests, without those listed.
import { existsSync, readFileSync } from 'node:fs';

const MOST = 3;
const [reportFile, errorsFile, code, listFile = 'KNOWN-RED.txt'] = process.argv.slice(2);
const faults = [];

let report = { testResults: [], numFailedTestSuites: 0 };
if (existsSync(reportFile)) report = JSON.parse(readFileSync(reportFile, 'utf8'));
else faults.push('there is no report of the tests');
if (existsSync(errorsFile))
  for (const error of JSON.parse(readFileSync(errorsFile, 'utf8'))) faults.push(`outside any test: ${error}`);
else faults.push('there is no report of errors outside the tests');

const lines = existsSync(listFile) ? readFileSync(listFile, 'utf8').split('\n') : [];
const known = new Map();
for (const line of lines.filter((one) => one.trim() !== '')) {
  const [test, cause, issue, ...more] = line.split('|').map((part) => part.trim());
  if (!test || !cause || !issue || more.length > 0)
    faults.push(`${listFile}: not \`test | cause | issue\`: ${line}`);
  else if (known.has(test)) faults.push(`${listFile}: listed twice: ${test}`);
  else known.set(test, { cause, issue, status: null });
}
if (known.size > MOST) faults.push(`${listFile}: ${known.size} tests, ${MOST} at most`);

let passed = 0;
let failed = 0;
for (const { name: file, status: fileStatus, assertionResults, message } of report.testResults) {
  if (fileStatus === 'failed' && !assertionResults.some(({ status }) => status === 'failed')) {
    failed += 1;
    faults.push(`${file} failed as a whole: ${message}`);
  }
  for (const { fullName, status } of assertionResults) {
    const listed = known.get(fullName);
    if (listed !== undefined) listed.status = listed.status === 'failed' ? 'failed' : status;
    else if (status === 'passed') passed += 1;
    else if (status === 'failed') {
      failed += 1;
      faults.push(`failed: ${fullName}`);
    } else faults.push(`${status}: ${fullName}`);
  }
}
for (const [test, { cause, issue, status }] of known) {
  if (status === 'failed') console.log(`known red: ${test} (${cause}; issue ${issue})`);
  else faults.push(`${listFile}: ${status === null ? 'no such test' : `it is ${status}`}: ${test}`);
}
const reds = [...known.values()].filter(({ status }) => status === 'failed').length;
if (code !== '0' && failed + reds === 0) faults.push(`the tests ended with ${code}`);
for (const fault of faults) console.log(`ci: ${fault}`);
console.log(`${passed} passed, ${failed} failed`);
process.exit(faults.length === 0 ? 0 : 1);
