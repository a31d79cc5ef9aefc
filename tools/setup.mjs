// Runs `npm ci` in a fresh checkout that has no installed packages yet.
import { execFileSync } from "node:child_process";
import { existsSync } from "node:fs";

if (!existsSync("node_modules/.package-lock.json")) {
  execFileSync("npm", ["ci", "--ignore-scripts"], { stdio: "inherit" });
}
