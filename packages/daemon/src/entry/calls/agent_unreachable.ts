/** Why an answer is broken if its agent can't be reached any more. */
export const AGENT_UNREACHABLE = "agent-unreachable";
