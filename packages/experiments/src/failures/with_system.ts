import { RunningSystem } from "../harness/running_system.ts";
import { smallTopology } from "../harness/small_topology.ts";

const MEGABYTE = 1_048_576;

type Options = {
  withRelays: boolean;
  totalBytes: number;
  hostBytesPerSecond: number;
  originBytesPerSecond: number;
};

const FAST: Options = {
  withRelays: false,
  totalBytes: 2 * MEGABYTE,
  hostBytesPerSecond: 0,
  originBytesPerSecond: 0,
};

/**
 * Runs a failure's story on a whole system: 4 entry hosts in 3 data centres,
 * 3 engines, 3 servers whose calls may not be repeated, 1 plain one. A
 * contract stands for workspace "desk".
 */
export async function withSystem(
  options: Partial<Options>,
  story: (system: RunningSystem) => Promise<void>,
): Promise<void> {
  const all = { ...FAST, ...options };
  const centres = ["van", "kel", "pgr"];
  const system = new RunningSystem({
    topology: {
      ...smallTopology(all.hostBytesPerSecond),
      services: [
        { service: "drafter", kind: "engine", dataCentres: centres },
        { service: "ledger", kind: "unrepeatable", dataCentres: centres },
        { service: "portal", kind: "repeatable", dataCentres: ["van"] },
      ],
      withRelays: all.withRelays,
    },
    model: "drafter",
    totalBytes: all.totalBytes,
    chunkBytes: MEGABYTE / 8,
    commonChunks: 0,
    originBytesPerSecond: all.originBytesPerSecond,
  });
  let keepsLogs = true;
  try {
    await system.start();
    await system.client([
      ...["contract", "create", "desk", "--rate", "400", "--burst", "200"],
      ...["--services", "drafter,ledger,portal"],
    ]);
    await story(system);
    keepsLogs = false;
  } finally {
    await system.destroy({ keepsLogs });
  }
}
