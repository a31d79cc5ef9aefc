import { findFreeAddresses } from "../harness/find_free_addresses.ts";
import { AgentFixture } from "./agent_fixture.ts";

/** Runs a test on the parts of one agent with a fake engine. */
export async function withAgentFixture(
  checksFencing: boolean,
  scenario: (fixture: AgentFixture) => Promise<void>,
): Promise<void> {
  const fixture = new AgentFixture(await findFreeAddresses(2), checksFencing);
  await fixture.start();
  try {
    await scenario(fixture);
  } finally {
    await fixture.stop();
  }
}
