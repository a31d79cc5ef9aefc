import type { Settings } from "../settings/settings.ts";
import type { AgentState } from "./agent_state.ts";

/** What an agent tells entry hosts of itself and its backend server. */
export function announcementOf(
  settings: Settings,
  state: AgentState,
  incarnation: string,
) {
  const backend = state.backend!;
  const agent = settings.agent!;
  return {
    backendServer: settings.name,
    dataCentre: settings.data_centre,
    service: backend.service,
    incarnation,
    internalAddress: settings.internal.listen,
    chunkAddress: agent.listen,
    checksFencing: backend.checks_fencing,
    repeatable: backend.repeatable,
    slots: backend.slots,
    servingVersion: state.servingVersion,
    accepting: state.refusal(Date.now()) === undefined,
    usesWeights: backend.uses_weights,
    linkBytesPerSecond: agent.link_bytes_per_second,
  };
}
