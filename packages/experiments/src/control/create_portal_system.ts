import { RunningSystem } from "../harness/running_system.ts";
import { smallTopology } from "../harness/small_topology.ts";

/** The control hosts of today, with one plain service behind them. */
export function plainSystem(): RunningSystem {
  return new RunningSystem({
    topology: {
      ...smallTopology(0),
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
