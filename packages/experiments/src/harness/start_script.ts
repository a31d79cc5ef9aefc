import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Child } from "./child.ts";

const SOURCE = fileURLToPath(new URL("..", import.meta.url));

type Script = { name: string; script: string; folder: string };

/** Starts one of this package's own programs with a plan in a file. */
export function startScript(script: Script, plan: object): Child {
  const path = join(script.folder, `${script.name}.json`);
  writeFileSync(path, JSON.stringify(plan));
  return new Child({
    name: script.name,
    script: join(SOURCE, script.script),
    args: [path],
    log: join(script.folder, `${script.name}.log`),
  });
}
