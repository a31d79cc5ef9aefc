/**
 * Decides whether a test run is good, given the list of known failures.
 *
 * Known failures are listed by the full name of the test, never by a pattern. A
 * listed test that passes or no longer exists fails the run, so that the list
 * can't go stale. A test listed as failing intermittently (`sometimesRed`) may
 * pass, but it must exist.
 *
 * @param {{passed: string[], failed: string[], knownRed: string[],
 *   sometimesRed?: string[]}} run
 * @returns {{isGood: boolean, lines: string[]}}
 */
export function judgeRun({ passed, failed, knownRed, sometimesRed = [] }) {
  const known = new Set(knownRed);
  const sometimes = new Set(sometimesRed);
  const lines = [];
  let isGood = true;
  for (const name of failed) {
    if (known.has(name)) lines.push(`known red, passed over: ${name}`);
    else isGood = false;
  }
  for (const name of known) {
    if (failed.includes(name)) continue;
    if (passed.includes(name) && sometimes.has(name)) {
      lines.push(`known to be red sometimes, passed now: ${name}`);
      continue;
    }
    isGood = false;
    lines.push(
      passed.includes(name)
        ? `known red, but it passes: take it off the list: ${name}`
        : `known red, but there is no such test: ${name}`,
    );
  }
  return { isGood, lines };
}
