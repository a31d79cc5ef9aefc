// Makes one file a program under target/, for machines without packages: a
// start from one file takes a fraction of the time that the modules take.
import { build } from "esbuild";

await build({
  entryPoints: { teaselrouterd: "platform/src/main.ts" },
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  // Packages in the older module format call require when they load.
  banner: {
    js: 'import { createRequire as makeRequire } from "node:module";' +
      " const require = makeRequire(import.meta.url);",
  },
  logLevel: "warning",
});
