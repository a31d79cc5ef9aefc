import { afterEach, type TestContext } from "node:test";

/**
 * Watches the tests of the file that calls it. The returned function tells
 * whether one of those that have ended has failed.
 */
export function watchFailures(): () => boolean {
  let hasFailed = false;
  afterEach((context) => {
    hasFailed ||= !(context as TestContext & { passed: boolean }).passed;
  });
  return () => hasFailed;
}
