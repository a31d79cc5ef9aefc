import assert from "node:assert/strict";
import { test } from "node:test";
import { findConfigurationError } from "./find_configuration_error.ts";
import { pickTarget } from "./pick_target.ts";
import { RouteTable } from "./route_table.ts";
import type { Route } from "./route.ts";
import type { RoutingConfiguration } from "./routing_configuration.ts";

function route(change: Partial<Route>): Route {
  return {
    name: "drafts",
    host: "a.example",
    pathPrefix: "/a/",
    kind: "safe",
    timeoutMilliseconds: 1_000,
    targetMilliseconds: 100,
    priority: 1,
    targets: [{ service: "drafter", weight: 1 }],
    maxBackends: 2,
    needsKey: true,
    resumable: false,
    ...change,
  };
}

function configuration(
  change: Partial<RoutingConfiguration>,
): RoutingConfiguration {
  return {
    version: 1,
    routes: [route({})],
    services: [{ name: "drafter", maxConnections: 10 }],
    callerLimits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    workspaces: [{ name: "desk", keys: ["k1", "k2"] }],
    ...change,
  };
}

test("the longest path prefix of the host wins, and the query is ignored", () => {
  const long = route({ name: "long", pathPrefix: "/a/b/" });
  const other = route({ name: "other", host: "b.example" });
  const table = new RouteTable(
    configuration({ routes: [route({}), other, long] }),
  );
  assert.equal(table.match("a.example", "/a/b/c")?.name, "long");
  assert.equal(table.match("a.example", "/a/x?/a/b/")?.name, "drafts");
  assert.equal(table.match("b.example", "/a/b/c")?.name, "other");
  assert.equal(table.match("a.example", "/a"), undefined);
  assert.equal(table.match("c.example", "/a/"), undefined);
});

test("a key maps to its workspace; without workspaces no key is needed", () => {
  const table = new RouteTable(configuration({}));
  assert.equal(table.findWorkspaceByKey("k2")?.name, "desk");
  assert.equal(table.findWorkspaceByKey("k3"), undefined);
  assert.equal(table.needsKey(route({})), true);
  assert.equal(table.needsKey(route({ needsKey: false })), false);
  const open = new RouteTable(configuration({ workspaces: [] }));
  assert.equal(open.needsKey(route({})), false);
});

test("targets are chosen by weight", () => {
  const split = route({
    targets: [{ service: "x", weight: 9 }, { service: "y", weight: 1 }],
  });
  assert.equal(pickTarget(split, 0), "x");
  assert.equal(pickTarget(split, 0.89), "x");
  assert.equal(pickTarget(split, 0.91), "y");
});

test("an invalid configuration is rejected with the faulty field", () => {
  assert.equal(findConfigurationError(configuration({})), undefined);
  const faults = [
    configuration({
      routes: [route({ targets: [{ service: "x", weight: 1 }] })],
    }),
    configuration({ routes: [route({}), route({ name: "same" })] }),
    configuration({
      routes: [route({ targets: [{ service: "drafter", weight: 0 }] })],
    }),
    configuration({
      workspaces: [{ name: "a", keys: ["k"] }, { name: "b", keys: ["k"] }],
    }),
    configuration({
      workspaces: [{ name: "a", keys: ["k"] }, { name: "a", keys: ["k"] }],
    }),
  ];
  const fields = faults.map((faulty) => findConfigurationError(faulty)?.field);
  assert.deepEqual(fields, ["drafts", "same", "drafts", "b", "a"]);
});
