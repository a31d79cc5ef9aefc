import type { ChunkAssignment } from "@teaselrouter/core/spread/chunk_assignment.ts";
import type { SpreadPolicy } from "@teaselrouter/core/spread/spread_policy.ts";
import type { SpreadTable } from "@teaselrouter/core/spread/spread_table.ts";

const DOWNLOADS_PER_HOST = 3;

/** Baseline: every host fetches every chunk from the origin. */
export class OriginOnlyPolicy implements SpreadPolicy {
  plan(table: SpreadTable, now: number): ChunkAssignment[] {
    const assignments: ChunkAssignment[] = [];
    for (const row of table.hosts) {
      if (row.dataCentre !== table.dataCentre) continue;
      const fetching = table.transfersOf(row.host);
      const missing = row.held.missingFrom(0, DOWNLOADS_PER_HOST * 2)
        .filter((chunk) => !fetching.has(chunk));
      for (const chunk of missing) {
        if (fetching.size >= DOWNLOADS_PER_HOST) break;
        const assignment = { host: row.host, chunk, source: "" };
        table.startTransfer({ ...assignment, startedAt: now });
        assignments.push(assignment);
      }
    }
    return assignments;
  }
}
