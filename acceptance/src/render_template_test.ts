import { parseSettings } from "@teaselrouter/daemon/settings/parse_settings.ts";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { renderTemplate } from "./render_template.ts";

const TEMPLATE = readFileSync(
  new URL("../../deploy/gateway.toml", import.meta.url),
  "utf8",
);
const FIELDS = {
  nodeName: "edge-1",
  zone: "north-a",
  ip: "10.0.0.1",
  listen: { frontend: "10.0.0.1:8000", ready: "10.0.0.1:8001" },
  internalPorts: [7_740, 7_755],
  seeds: ["10.0.0.2:8002", "10.0.0.3:8002"],
};

function render(fields: object) {
  const settings = parseSettings(
    renderTemplate(TEMPLATE, { ...FIELDS, ...fields }),
  );
  assert.ok(settings.isOk, settings.isErr ? settings.error.join() : "");
  return settings.value;
}

// Guards against settings that are refused, or bound something, where a platform
// gives no regions and no bounds for cold servers, and against bounds that are
// lost where it gives them.
test("a gateway's settings have regions and bounds only where they are given", () => {
  const bounds = { graceS: 8, version_ms: 8_000 };
  const plain = render({ bounds });
  assert.deepEqual(plain.regions, {});
  assert.equal(plain.gateway?.cold_servers, undefined);
  const bound = render({
    zones: { "north-a": "north", "south-a": "south" },
    bounds: { ...bounds, coldOvershoot: 1.5, coldStartSlack: 5 },
  });
  assert.deepEqual(bound.regions, { "north-a": "north", "south-a": "south" });
  assert.deepEqual(bound.gateway?.cold_servers, {
    overshoot: 1.5,
    slack: 5,
    min_gateways: 6,
  });
  assert.equal(bound.gateway?.control_hosts.length, 2);
});

// Guards against a bound on retries that is ours instead of the deployment's.
test("a gateway's settings have the deployment's bound on retries", () => {
  const bounds = { graceS: 8, version_ms: 8_000 };
  const given = render({
    bounds: {
      ...bounds,
      retryBudgetRatio: 0.05,
      retryBudgetSlack: 0,
      budgetWindowS: 7.5,
    },
  });
  assert.deepEqual(given.gateway?.retry_budget, {
    ratio: 0.05,
    slack: 0,
    window_seconds: 7.5,
  });
  const { ratio } = render({ bounds }).gateway!.retry_budget;
  assert.equal(ratio, 0.2);
});
