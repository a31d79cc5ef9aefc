import type { ConfigurationChange } from "./build_configuration.ts";
import { CHUNKS } from "./fake_weight_store.ts";

/** What a change leads to; all requests get 200 where nothing is said. */
export type Expected = {
  /** Status of the request whose head was sent half. */
  halfHead?: number;
  /** Statuses of later requests on the open connections. */
  next?: { look?: number; pay?: number; write?: number };
  /** Requests that the server of the other service runs. */
  runByOther?: string[];
};

type Line = Expected & { name: string; change: ConfigurationChange };

/** Changes, and what they do to requests that are under way. */
export const LINES: Line[] = [
  { name: "nothing but the version", change: {} },
  {
    name: "a smaller head",
    change: { limits: { maxHeaderBytes: 64 } },
    halfHead: 431,
    next: { look: 431, pay: 431, write: 431 },
  },
  {
    name: "a smaller body",
    change: { limits: { maxBodyBytes: 4 } },
    halfHead: 413,
    next: { pay: 413, write: 413 },
  },
  {
    name: "a shorter time for heads",
    change: { limits: { headerTimeoutMs: 50 } },
  },
  {
    name: "a longer time for heads",
    change: { limits: { headerTimeoutMs: 8_000 } },
  },
  {
    name: "a shorter idle time",
    change: { limits: { idleTimeoutMs: 100 } },
  },
  {
    name: "a longer idle time",
    change: { limits: { idleTimeoutMs: 9_000 } },
  },
  {
    name: "removed routes",
    change: { routes: { look: null, pay: null, write: null } },
    halfHead: 404,
    next: { look: 404, pay: 404, write: 404 },
  },
  {
    name: "routes that move to another service",
    change: {
      routes: { look: { service: "other" }, pay: { service: "other" } },
    },
    runByOther: ["half-head", "again-look", "again-pay"],
  },
  {
    name: "a route that is split",
    change: {
      routes: {
        pay: {
          service: undefined,
          split: [
            { service: "plain", weight: 0 },
            { service: "other", weight: 1 },
          ],
        },
      },
    },
    runByOther: ["half-head", "again-pay"],
  },
  {
    name: "time-outs that are over already",
    change: {
      routes: {
        look: { timeoutMs: 500 },
        pay: { timeoutMs: 500 },
        write: { timeoutMs: 500 },
      },
    },
  },
  {
    name: "kinds and attempts",
    change: {
      routes: {
        look: { type: "unsafe", maxAttempts: 1 },
        pay: { type: "safe", maxAttempts: 1 },
        write: { type: "unsafe", maxAttempts: 1, resumable: false },
      },
    },
  },
  {
    name: "a key that is taken away",
    change: { keys: ["key-2"] },
    halfHead: 401,
    next: { look: 401, pay: 401, write: 401 },
  },
  {
    name: "a tenant that is taken away",
    change: {
      tenants: {
        "tenant-1": null,
        "tenant-2": { apiKeys: ["key-2"], priority: 1 },
      },
    },
    halfHead: 401,
    next: { look: 401, pay: 401, write: 401 },
  },
  {
    name: "a key that moves to another tenant",
    change: {
      keys: ["key-2"],
      tenants: { "tenant-2": { apiKeys: ["key-1"], priority: 1 } },
    },
  },
  {
    name: "a tenant's priority",
    change: { tenants: { "tenant-1": { priority: 9 } } },
  },
  {
    name: "a service that is removed",
    change: { routes: { write: null }, services: { writer: null } },
    next: { write: 404 },
  },
  {
    name: "fields of an engine, and fewer connections",
    change: {
      services: {
        plain: { maxConnections: 1 },
        writer: {
          maxConnections: 1,
          engine: {
            slots: 1,
            models: [{ name: "model-1" }],
            chunks: CHUNKS,
            chunkBytes: 4_096,
            read_per_s: 300,
          },
        },
      },
    },
  },
];
