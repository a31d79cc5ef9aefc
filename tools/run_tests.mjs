// Runs every compiled test file by node:test and exits with its verdict.
// Tests listed in KNOWN-RED.txt are passed over and printed.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

function findTestFiles(folder) {
  return readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith("_test.js"))
    .map((entry) => join(entry.parentPath, entry.name));
}

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const knownRed = existsSync(KNOWN_RED_FILE)
  ? readFileSync(KNOWN_RED_FILE, "utf8").split("\n").filter(Boolean)
  : [];
for (const line of knownRed) console.log(`known red, passed over: ${line}`);

const only = process.argv.slice(2);
const files = readdirSync("packages")
  .map((name) => join("packages", name, "dist"))
  .filter((folder) => existsSync(folder))
  .flatMap(findTestFiles)
  .filter((file) =>
    only.length === 0 || only.some((part) => file.includes(part))
  )
  .sort();
const skip = knownRed.flatMap((line) => [
  "--test-skip-pattern",
  line.split(" | ")[0],
]);
const run = spawnSync(
  process.execPath,
  ["--test", "--test-concurrency=4", ...skip, ...files],
  { stdio: "inherit" },
);
process.exit(run.status ?? 1);
