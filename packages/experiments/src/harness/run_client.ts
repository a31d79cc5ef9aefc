import { createRequire } from "node:module";
import { Child } from "./child.ts";

const resolver = createRequire(import.meta.url);
const CLIENT = resolver.resolve("@teaselrouter/operator/main.ts");

type Ended = { exit: number | null; output: string };

/** Runs the operators' client once, as a person would. */
export async function runClient(
  options: { entry: string; log: string },
  words: string[],
): Promise<Ended> {
  const child = new Child({
    name: "client",
    script: CLIENT,
    args: [...words, "--entry", options.entry],
    log: options.log,
  });
  const exit = await child.exited;
  return { exit, output: child.output };
}
