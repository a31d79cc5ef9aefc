import type { Member, Membership } from "@teaselrouter/messages/control.ts";
import { PeerService } from "@teaselrouter/messages/control.ts";
import type { EventLog } from "../log/event_log.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import { pause } from "../transport/pause.ts";

const ASK_MILLISECONDS = 500;
const CALL_MILLISECONDS = 1_000;

type Options = {
  self: Member;
  clients: ClientPool;
  log: EventLog;
  /** Control hosts known now; whichever leads takes this one in. */
  addresses: () => string[];
  /** Whether this host hears a leader, and so is a member. */
  isHeard: () => boolean;
  isStopped: () => boolean;
  learnMembers: (membership: Membership) => void;
};

/**
 * Asks to be taken in for as long as no leader is heard: as a host with an
 * empty disk, and as one that was replaced while it was away, which otherwise
 * would never hear of it.
 */
export async function joinCluster(options: Options): Promise<void> {
  const { addresses, isHeard, isStopped, log, self } = options;
  let told = false;
  while (!isStopped()) {
    await pause(ASK_MILLISECONDS);
    if (isHeard()) {
      told = false;
      continue;
    }
    if (!told) log.warn("asks-to-be-taken-in", { member: self.id });
    told = true;
    const others = addresses().filter((address) => address !== self.address);
    await Promise.all(others.map((address) => ask(options, address)));
  }
}

async function ask(options: Options, address: string): Promise<void> {
  const { clients, learnMembers, log, self } = options;
  try {
    const answer = await clients.client(PeerService, address)
      .introduce({ member: self }, { timeoutMs: CALL_MILLISECONDS });
    if (answer.founded !== undefined) learnMembers(answer.founded);
  } catch (error) {
    clients.renew(address);
    log.debug("introduction-failed", { address, reason: String(error) });
  }
}
