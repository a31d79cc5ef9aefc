import { readFileSync } from "node:fs";
import process from "node:process";
import { FakeEngine } from "./fake_engine.ts";
import { FakeService } from "./fake_service.ts";
import type { FakesPlan } from "./fakes_plan.ts";

const SLOTS = 8;
const CALL_MILLISECONDS = 10;

const plan = JSON.parse(readFileSync(process.argv[2]!, "utf8")) as FakesPlan;
for (const server of plan.backendServers) {
  const { address, agentAddress, service } = server;
  const common = { address, agentAddress, service, slots: SLOTS };
  const fake = server.kind === "engine"
    ? new FakeEngine({
      ...common,
      checksFencing: server.checksFencing,
      lineIntervalMilliseconds: plan.lineMilliseconds,
      loadMilliseconds: plan.loadMilliseconds,
    })
    : new FakeService({
      ...common,
      repeatable: server.kind === "repeatable",
      callMilliseconds: CALL_MILLISECONDS,
    });
  await fake.start();
}
process.once("SIGTERM", () => process.exit(0));
