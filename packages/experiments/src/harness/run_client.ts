import { createRequire } from "node:module";
import { Child } from "./child.ts";

const resolver = createRequire(import.meta.url);
const CLIENT = resolver.resolve("@teaselrouter/operator/main.ts");

type ClientResult = { exitStatus: number | null; output: string };

/**
 * Runs the operators' client once through an entry host, as an operator would
 * from the command line.
 */
export async function runClient(
  options: { entry: string; log: string },
  args: string[],
): Promise<ClientResult> {
  const child = new Child({
    name: "client",
    script: CLIENT,
    args: [...args, "--entry", options.entry],
    log: options.log,
  });
  const exitStatus = await child.exited;
  return { exitStatus, output: child.output };
}
