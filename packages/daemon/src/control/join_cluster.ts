import type { Member, Membership } from "@teaselrouter/messages/control.ts";
import { PeerService } from "@teaselrouter/messages/control.ts";
import type { EventLog } from "../log/event_log.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { sleep } from "../transport/sleep.ts";

const RETRY_DELAY_MILLISECONDS = 500;
const CALL_TIMEOUT_MILLISECONDS = 1_000;

type Options = {
  self: Member;
  clients: ClientPool;
  log: EventLog;
  /** Control hosts known now; the leader among them adds this one. */
  addresses: () => string[];
  /** Whether this host has a leader, and so is a member. */
  hasLeader: () => boolean;
  isStopped: () => boolean;
  onMembership: (membership: Membership) => void;
};

/**
 * Asks the known control hosts for membership every 500 ms while this host has
 * no leader. This applies to a host with an empty disk, and to one that was
 * replaced while it was offline and would otherwise never learn of that.
 */
export async function joinCluster(options: Options): Promise<void> {
  const { addresses, hasLeader, isStopped, log, self } = options;
  let isLogged = false;
  while (!isStopped()) {
    await sleep(RETRY_DELAY_MILLISECONDS);
    if (hasLeader()) {
      isLogged = false;
      continue;
    }
    if (!isLogged) log.warn("asks-to-be-taken-in", { member: self.id });
    isLogged = true;
    const others = addresses().filter((address) => address !== self.address);
    await Promise.all(
      others.map((address) => requestMembership(options, address)),
    );
  }
}

async function requestMembership(
  options: Options,
  address: string,
): Promise<void> {
  const { clients, onMembership, log, self } = options;
  try {
    const answer = await clients.client(PeerService, address)
      .introduce({ member: self }, { timeoutMs: CALL_TIMEOUT_MILLISECONDS });
    if (answer.founded !== undefined) onMembership(answer.founded);
  } catch (error) {
    clients.dropConnection(address);
    log.debug("introduction-failed", { address, reason: String(error) });
  }
}
