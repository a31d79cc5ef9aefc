import type { Member } from "@teaselrouter/messages/control.ts";
import { PeerService } from "@teaselrouter/messages/control.ts";
import { Result } from "true-myth";
import type { Settings } from "../settings/settings.ts";
import type { ClientPool } from "../transport/client_pool.ts";
import type { ControlHost } from "./control_host.ts";
import { replaceMember } from "./replace_member.ts";

const INTRODUCE_TIMEOUT_MILLISECONDS = 2_000;

type Options = {
  control: ControlHost;
  settings: Settings;
  self: Member;
  clients: ClientPool;
};

/**
 * Replaces the member at a founder's address with the process that runs there
 * now. Returns the new member's id, or an error with the reason.
 */
export async function replaceFounder(
  name: string,
  { control, settings, self, clients }: Options,
): Promise<Result<string, string>> {
  const founder = settings.control!.founders.find((known) =>
    known.name === name
  );
  if (founder === undefined) {
    return Result.err(`no control host is named "${name}" in founders`);
  }
  const answer = await clients.client(PeerService, founder.address)
    .introduce({ member: self }, { timeoutMs: INTRODUCE_TIMEOUT_MILLISECONDS })
    .catch(() => undefined);
  if (answer?.member === undefined) {
    return Result.err("the new process can't be reached");
  }
  return replaceMember(control, answer.member);
}
