// Bundles the daemon into target/, for machines without installed packages.
//
// A host that lost power serves again only when its processes have loaded, on a
// fraction of a core, so the bundle holds no unused code and loads fast:
// - rxjs is bundled from its ES modules, so that unused operators are removed.
// - The output is CommonJS, which Node loads in less CPU time than ES modules.
// - The output is ASCII, which V8 uses without converting it.
//
// The program runs without V8 flags: a code cache is valid only with the flags
// that it was made with, and Node's own modules come with one made without any.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, rmSync } from "node:fs";
import { createRequire } from "node:module";
import process from "node:process";

const PROGRAM = "target/teaselrouterd.cjs";
const BUNDLE = "target/teaselrouterd.bundle.cjs";
const CODE_CACHE = "target/teaselrouterd.bundle.compiled";

const require = createRequire(import.meta.url);
/**
 * Path of the rxjs ES modules. For Node, rxjs exports only CommonJS, from which
 * esbuild can't remove unused code.
 */
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
  // headers-polyfill compares with it, which loads what it replaces.
  define: { "globalThis.Headers": "undefined" },
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: "warning",
});
copyFileSync("tools/launch.cjs", PROGRAM);
rmSync(CODE_CACHE, { force: true });
// Makes the code cache: `--check` loads the modules of all roles in the settings
// and starts nothing.
execFileSync(
  process.execPath,
  [PROGRAM, "--settings", "tools/all_roles.toml", "--check"],
  { env: { ...process.env, TEASELROUTER_COMPILE_TO: CODE_CACHE } },
);
