// Runs the bundle beside this file from the code that V8 compiled when it was
// built. Compiling is a third of what a start costs; a host that lost power
// serves again only when its processes have loaded, on a fraction of a core.
// Where the compiled code doesn't fit the running V8, it compiles as usual.
"use strict";
const { readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const bundle = join(__dirname, "teaselrouterd.bundle.cjs");
const compiled = join(__dirname, "teaselrouterd.bundle.compiled");

/** Undefined where the build made none: it is only a help. */
function readCompiled() {
  try {
    return readFileSync(compiled);
  } catch (error) {
    if (error.code === "ENOENT") return undefined;
    throw error;
  }
}

const script = new Script(
  `(function (require, module, exports) {${readFileSync(bundle, "latin1")}\n})`,
  { filename: bundle, cachedData: readCompiled() },
);
const program = { exports: {} };
script.runInThisContext()(require, program, program.exports);

// The build asks for it: what was compiled up to the end of this run.
if (process.env.TEASELROUTER_COMPILE_TO !== undefined) {
  process.on("exit", () => {
    writeFileSync(
      process.env.TEASELROUTER_COMPILE_TO,
      script.createCachedData(),
    );
  });
}
