import { freeAddresses } from "../harness/free_addresses.ts";
import { AgentBench } from "./agent_bench.ts";

/** Runs a story on one agent's parts with a fake engine. */
export async function withBench(
  checksFencing: boolean,
  story: (bench: AgentBench) => Promise<void>,
): Promise<void> {
  const bench = new AgentBench(await freeAddresses(2), checksFencing);
  await bench.start();
  try {
    await story(bench);
  } finally {
    await bench.stop();
  }
}
