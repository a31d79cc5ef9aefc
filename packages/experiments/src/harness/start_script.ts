import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Child } from "./child.ts";

const SOURCE_FOLDER = fileURLToPath(new URL("..", import.meta.url));

type Script = { name: string; script: string; folder: string };

/**
 * Starts a script of this package. The plan is written to a JSON file, whose
 * path is the script's only argument.
 */
export function startScript(script: Script, plan: object): Child {
  const path = join(script.folder, `${script.name}.json`);
  writeFileSync(path, JSON.stringify(plan));
  return new Child({
    name: script.name,
    script: join(SOURCE_FOLDER, script.script),
    args: [path],
    log: join(script.folder, `${script.name}.log`),
  });
}
