import type { EndToEndSystem } from "./end_to_end_system.ts";

const FREEZE_MILLISECONDS = 1_500;

/** Stops a host's process for a while, then has it go on. */
export async function freezeHost(
  system: EndToEndSystem,
  name: string,
  milliseconds = FREEZE_MILLISECONDS,
): Promise<void> {
  const { child } = system.cluster.findHost(name);
  child.signal("SIGSTOP");
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
  child.signal("SIGCONT");
}
