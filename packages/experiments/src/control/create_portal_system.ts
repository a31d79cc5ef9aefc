import { RunningSystem } from "../harness/running_system.ts";
import { createSmallTopology } from "../harness/create_small_topology.ts";

/**
 * Creates a system with the hosts of the small topology and one backend server,
 * of the service "portal". No weights are spread.
 */
export function createPortalSystem(): RunningSystem {
  return new RunningSystem({
    topology: {
      ...createSmallTopology(0),
      services: [
        { service: "portal", kind: "repeatable", dataCentres: ["van"] },
      ],
      logLevel: "error",
    },
    model: "none",
    totalBytes: 1,
    chunkBytes: 1,
    commonChunks: 0,
    originBytesPerSecond: 0,
  });
}
