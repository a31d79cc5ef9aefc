import assert from "node:assert/strict";
import { test } from "node:test";
import { AgentState } from "./agent_state.ts";

const NOW = 1_000_000;

// Guards against calls refused by the agent of a backend server that announces
// itself each second, and stood still for two.
test("a backend server outlasts an announcement's interval and a silence of two seconds", () => {
  const state = new AgentState();
  state.recordAnnouncement({
    service: "portal",
    address: "127.0.0.1:1",
    checks_fencing: false,
    repeatable: true,
    uses_weights: false,
    slots: 1,
  }, NOW);
  assert.equal(state.refusalReason(NOW + 3_200), undefined);
  assert.equal(state.refusalReason(NOW + 4_500), "backend-server-silent");
});
