// Makes one file a program under target/, for machines without packages. A
// host that lost power serves again only once its processes have loaded, on a
// fraction of a core, so the bundle holds nothing that isn't run: rxjs comes in
// its module format, of which unused operators can be left out; the whole in
// the older module format, which Node loads in less processor time, and in
// ASCII, which V8 keeps as it is read.
// The program runs under no V8 flag: compiled code fits only the flags that it
// was compiled under, and Node's own modules come compiled under none.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import { createRequire } from "node:module";
import process from "node:process";

const PROGRAM = "target/teaselrouterd.cjs";
const BUNDLE = "target/teaselrouterd.bundle.cjs";
const COMPILED = "target/teaselrouterd.bundle.compiled";

const require = createRequire(import.meta.url);
/** For Node, rxjs names only its older format, which is kept whole. */
const rxjsModules = require.resolve("rxjs").replace("/cjs/", "/esm/");

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: BUNDLE,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  alias: { rxjs: rxjsModules },
  inject: ["tools/plain_headers.mjs"],
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: "warning",
});
copyFileSync("tools/launch.cjs", PROGRAM);
rmSync(COMPILED, { force: true });
// Checking settings loads every module and starts nothing.
execFileSync(
  process.execPath,
  [PROGRAM, "--settings", "examples/entry.toml", "--check"],
  { env: { ...process.env, TEASELROUTER_COMPILE_TO: COMPILED } },
);
