import type { ConfigurationChange } from "../build_configuration.ts";
import { MARKED_VERSIONS } from "./marked_versions.ts";

/**
 * The change that marks a version: of the routes and keys that are named after
 * versions, it has `since-N` for its own and earlier ones and `until-N` for
 * later ones. Requests on these show whether a gateway obeys at least version N.
 */
export function buildMarkedChange(
  version: number,
  operator: number,
): ConfigurationChange {
  const earlier = listVersions(version - MARKED_VERSIONS + 1, version);
  const later = listVersions(version + 1, version + MARKED_VERSIONS);
  const marks = [
    ...earlier.map((marked) => `since-${marked}`),
    ...later.map((marked) => `until-${marked}`),
  ];
  return {
    routes: {
      look: { sloMs: 100 + operator },
      ...Object.fromEntries(marks.map((mark, index) => [mark, {
        host: "desk.example",
        pathPrefix: `/${mark}/`,
        type: "safe",
        timeoutMs: 2_000,
        sloMs: 100,
        priority: 1,
        maxAttempts: 2,
        public: false,
        service: index % 2 === 0 ? "plain" : "other",
      }])),
    },
    services: {
      other: {
        healthPath: "/healthz",
        protocol: "h1",
        tls: false,
        maxConnections: 50,
      },
    },
    keys: ["key-1", ...marks.map((mark) => `key-${mark}`)],
  };
}

function listVersions(first: number, last: number): number[] {
  return Array.from(
    { length: Math.max(0, last - Math.max(1, first) + 1) },
    (_, index) => Math.max(1, first) + index,
  );
}
