/**
 * Judges a test run against the tests that are known to fail.
 *
 * A known test is named by its full name, never by a pattern. One that passes
 * or no longer exists makes the run fail, so that the list can't go stale. Only
 * one that is known to fail sometimes may pass.
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
