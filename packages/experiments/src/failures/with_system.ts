import { RunningSystem } from "../harness/running_system.ts";
import { createSmallTopology } from "../harness/create_small_topology.ts";

const MEGABYTE = 1_048_576;

type Options = {
  withRelays: boolean;
  totalBytes: number;
  hostBytesPerSecond: number;
  originBytesPerSecond: number;
  loadMilliseconds: number;
  lineMilliseconds: number;
};

const DEFAULT_OPTIONS: Options = {
  withRelays: false,
  totalBytes: 2 * MEGABYTE,
  hostBytesPerSecond: 0,
  originBytesPerSecond: 0,
  loadMilliseconds: 0,
  lineMilliseconds: 5,
};

/**
 * Runs a test on a whole system: 4 entry hosts in 3 data centres, 3 engines, 3
 * servers with unrepeatable calls, and 1 with repeatable calls. Workspace
 * "desk" has a contract. The system's folder with its logs is kept if the test
 * fails.
 */
export async function withSystem(
  options: Partial<Options>,
  scenario: (system: RunningSystem) => Promise<void>,
): Promise<void> {
  const resolved = { ...DEFAULT_OPTIONS, ...options };
  const centres = ["van", "kel", "pgr"];
  const system = new RunningSystem({
    topology: {
      ...createSmallTopology(resolved.hostBytesPerSecond),
      services: [
        { service: "drafter", kind: "engine", dataCentres: centres },
        { service: "ledger", kind: "unrepeatable", dataCentres: centres },
        { service: "portal", kind: "repeatable", dataCentres: ["van"] },
      ],
      withRelays: resolved.withRelays,
    },
    model: "drafter",
    totalBytes: resolved.totalBytes,
    chunkBytes: MEGABYTE / 8,
    commonChunks: 0,
    originBytesPerSecond: resolved.originBytesPerSecond,
    loadMilliseconds: resolved.loadMilliseconds,
    lineMilliseconds: resolved.lineMilliseconds,
  });
  let keepLogs = true;
  try {
    await system.start();
    await system.runClient([
      ...["contract", "create", "desk", "--rate", "400", "--burst", "200"],
      ...["--services", "drafter,ledger,portal"],
    ]);
    await scenario(system);
    keepLogs = false;
  } finally {
    await system.destroy({ keepLogs });
  }
}
