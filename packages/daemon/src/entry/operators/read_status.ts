import { listEvacuations } from "@teaselrouter/core/evacuations/list_evacuations.ts";
import { versionName } from "@teaselrouter/core/spread/version_name.ts";
import type { Settings } from "../../settings/settings.ts";
import type { EntryContext } from "../entry_context.ts";

/** The system as this entry host sees it, as `teaselrouter status` shows it. */
export function readStatus(
  settings: Settings,
  context: EntryContext,
): Promise<unknown> {
  const now = Date.now();
  const { state } = context.control;
  return Promise.resolve({
    entry_host: settings.name,
    data_centre: settings.data_centre,
    has_lease: context.control.hasLease(now),
    leader: context.control.leader,
    term: context.control.term,
    applied_index: state.appliedIndex,
    entry_hosts: [...state.entryHosts.values()],
    contracts: [...state.contracts.values()].map((contract) => ({
      workspace: contract.workspace,
      number: contract.number,
      retired: contract.retired,
      requests_per_second: contract.content.requests_per_second,
      demand: context.limits.getLimiter(contract.workspace, now).demand(
        now,
      ),
    })),
    weights: [...state.weights.values()].map((weights) => {
      const version = versionName(weights.manifest);
      const rows = context.table.ofService(weights.service)
        .filter((row) => context.table.isLive(row, now));
      return {
        service: weights.service,
        version,
        number: weights.number,
        bytes: weights.manifest.total_bytes,
        live: rows.filter((row) => row.servingVersion === version).length,
        replicas: rows.length,
      };
    }),
    evacuations: listEvacuations(state).map(({ dataCentre, at }) => ({
      data_centre: dataCentre,
      since: at,
    })),
    backend_servers: context.table.all().map((row) => ({
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
