import type { Settings } from "../settings/settings.ts";

type Role = Settings["roles"][number];

/**
 * Loads the apps of the given roles; those of others are undefined. Loading is
 * most of a start, so no module that only other roles need is loaded with them.
 */
export async function loadApps(roles: readonly Role[]) {
  const has = (role: Role) => roles.includes(role);
  return {
    control: has("control")
      ? (await import("../control/control_app.ts")).ControlApp
      : undefined,
    entry: has("entry")
      ? (await import("../entry/entry_app.ts")).EntryApp
      : undefined,
    agent: has("agent")
      ? (await import("../agent/agent_app.ts")).AgentApp
      : undefined,
    gateway: has("gateway")
      ? (await import("../gateway/gateway_app.ts")).GatewayApp
      : undefined,
    stager: has("stager")
      ? (await import("../stager/stager_app.ts")).StagerApp
      : undefined,
  };
}
