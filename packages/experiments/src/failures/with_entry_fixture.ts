import { findFreeAddresses } from "../harness/find_free_addresses.ts";
import type { RequestListener } from "node:http";
import { EntryFixture } from "./entry_fixture.ts";

/** Runs a test on one entry host, one agent and a backend server of its own. */
export async function withEntryFixture(
  backend: RequestListener,
  scenario: (fixture: EntryFixture) => Promise<void>,
): Promise<void> {
  const fixture = new EntryFixture(await findFreeAddresses(4), backend);
  await fixture.start();
  try {
    await scenario(fixture);
  } finally {
    await fixture.stop();
  }
}
