import type { Settings } from "../settings/settings.ts";
import type { AgentState } from "./agent_state.ts";

/**
 * Creates an agent's announcement of itself and its backend server to entry
 * hosts. The backend server must have announced itself to the agent.
 *
 * @param incarnation id of this agent process.
 */
export function createAnnouncement(
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
    accepting: state.refusalReason(Date.now()) === undefined,
    usesWeights: backend.uses_weights,
    pauseMilliseconds: state.pushback.pauseMilliseconds,
    linkBytesPerSecond: agent.link_bytes_per_second,
  };
}
