import { parseSettings } from "@teaselrouter/daemon/settings/parse_settings.ts";
import { startDaemon } from "@teaselrouter/daemon/wiring/start_daemon.ts";
import { readFileSync } from "node:fs";
import process from "node:process";
import { stringify } from "smol-toml";
import { FakeService } from "../fakes/fake_service.ts";
import type { LightAgentsPlan } from "./light_agents_plan.ts";

/**
 * Runs many complete agents in one process, each with a fake service. They cause
 * the same load on the entry hosts as agents in processes of their own.
 */
const plan = JSON.parse(
  readFileSync(process.argv[2]!, "utf8"),
) as LightAgentsPlan;
for (const agent of plan.agents) {
  const settings = parseSettings(stringify({
    name: agent.name,
    data_centre: agent.dataCentre,
    roles: ["agent"],
    internal: { listen: agent.internal },
    log: { level: "error" },
    agent: { listen: agent.agentAddress, entry_hosts: plan.entryHosts },
  }));
  if (settings.isErr) throw new Error(settings.error.join("; "));
  const started = await startDaemon({
    settings: settings.value,
    stopProcess: (reason) => {
      throw new Error(reason);
    },
  });
  if (started.isErr) throw new Error(started.error);
  await new FakeService({
    address: agent.address,
    agentAddress: agent.agentAddress,
    service: "portal",
    repeatable: true,
    slots: 4,
    callMilliseconds: 5,
  }).start();
}
