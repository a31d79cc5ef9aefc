import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { Settings } from "../../settings/settings.ts";
import type { EntryWorld } from "../entry_world.ts";

/** What `teaselrouter status` shows: the system as this entry host sees it. */
export function readStatus(
  settings: Settings,
  world: EntryWorld,
): Promise<unknown> {
  const now = Date.now();
  const { state } = world.control;
  return Promise.resolve({
    entry_host: settings.name,
    data_centre: settings.data_centre,
    has_lease: world.control.hasLease(now),
    leader: world.control.leader,
    term: world.control.term,
    applied_index: state.appliedIndex,
    entry_hosts: [...state.entryHosts.values()],
    contracts: [...state.contracts.values()].map((contract) => ({
      workspace: contract.workspace,
      number: contract.number,
      retired: contract.retired,
      requests_per_second: contract.content.requests_per_second,
      demand: world.limits.limiter(contract.workspace, now).demand(now),
    })),
    weights: [...state.weights.values()].map((weights) => {
      const version = versionName(weights.manifest);
      const rows = world.table.ofService(weights.service)
        .filter((row) => world.table.isLive(row, now));
      return {
        service: weights.service,
        version,
        number: weights.number,
        bytes: weights.manifest.total_bytes,
        live: rows.filter((row) => row.servingVersion === version).length,
        replicas: rows.length,
      };
    }),
    backend_servers: world.table.all().map((row) => ({
      backend_server: row.backendServer,
      data_centre: row.dataCentre,
      service: row.service,
      version: row.servingVersion,
      accepting: row.accepting,
      drained: state.drained.has(row.backendServer),
      heard_milliseconds_ago: now - row.heardAt,
      in_flight: row.ownInFlight,
      running: row.load.running,
      queued: row.load.queued,
    })),
  });
}
