// Runs the bundle in this folder with the V8 code cache made at build time.
// Compilation is a third of the startup cost, and a host that lost power serves
// again only when its processes have loaded, on a fraction of a core. V8
// rejects a cache made by an incompatible V8 and compiles the source instead.
"use strict";
const { readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const bundle = join(__dirname, "teaselrouterd.bundle.cjs");
const codeCache = join(__dirname, "teaselrouterd.bundle.compiled");

/** @returns undefined if there is no cache: the bundle runs without one too. */
function readCodeCache() {
  try {
    return readFileSync(codeCache);
  } catch (error) {
    if (error.code === "ENOENT") return undefined;
    throw error;
  }
}

const script = new Script(
  `(function (require, module, exports) {${readFileSync(bundle, "latin1")}\n})`,
  { filename: bundle, cachedData: readCodeCache() },
);
const bundleModule = { exports: {} };
script.runInThisContext()(require, bundleModule, bundleModule.exports);

// Set by tools/bundle.mjs. The cache is written at exit, so that it contains
// all functions compiled during this run.
if (process.env.TEASELROUTER_COMPILE_TO !== undefined) {
  process.on("exit", () => {
    writeFileSync(
      process.env.TEASELROUTER_COMPILE_TO,
      script.createCachedData(),
    );
  });
}
