import { splitAddress } from "../transport/split_address.ts";
import type { Settings } from "./settings.ts";

/** Turns the addresses of other processes to the port they listen on. */
export function withPeerPort(settings: Settings): Settings {
  const port = settings.internal.peer_port;
  if (port === undefined) return settings;
  const turn = (address: string) => `${splitAddress(address).host}:${port}`;
  const { control, gateway, stager } = settings;
  return {
    ...settings,
    control: control && {
      ...control,
      founders: control.founders.map((founder) => ({
        ...founder,
        address: turn(founder.address),
      })),
    },
    gateway: gateway &&
      { ...gateway, control_hosts: gateway.control_hosts.map(turn) },
    stager: stager &&
      { ...stager, control_hosts: stager.control_hosts.map(turn) },
  };
}
