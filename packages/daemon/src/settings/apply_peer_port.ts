import { splitAddress } from "../transport/split_address.ts";
import type { Settings } from "./settings.ts";

/**
 * Replaces the port in the addresses of founders and of a gateway's and a
 * stager's control hosts with `internal.peer_port`, if that is set.
 */
export function applyPeerPort(settings: Settings): Settings {
  const port = settings.internal.peer_port;
  if (port === undefined) return settings;
  const replacePort = (address: string) =>
    `${splitAddress(address).host}:${port}`;
  const { control, gateway, stager } = settings;
  return {
    ...settings,
    control: control && {
      ...control,
      founders: control.founders.map((founder) => ({
        ...founder,
        address: replacePort(founder.address),
      })),
    },
    gateway: gateway &&
      { ...gateway, control_hosts: gateway.control_hosts.map(replacePort) },
    stager: stager &&
      { ...stager, control_hosts: stager.control_hosts.map(replacePort) },
  };
}
