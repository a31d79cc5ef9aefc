import type { ColdFleet } from "./cold_fleet_fixture.ts";

const MAX_FAULT_MILLISECONDS = 15_000;

/** Does one thing that changes which gateways run or are heard. */
export function disturbFleet(fleet: ColdFleet): string {
  const { random, time } = fleet;
  const pick = (count: number) => Math.floor(count * random());
  const running = fleet.gateways.filter(({ endsAt }) => endsAt > time);
  const gateway = running[pick(running.length)]!;
  const span = { from: time, to: time + MAX_FAULT_MILLISECONDS * random() };
  const index = pick(fleet.controlHosts.length);
  const follows = random() < 0.5 ? [index] : undefined;
  switch (running.length === 0 ? 0 : pick(9)) {
    case 0:
      fleet.startWithinSecond(1 + pick(40), follows);
      return "start";
    case 1:
      for (const each of running) if (random() < 0.3) fleet.end(each);
      return "end";
    case 2:
      for (const each of running) {
        if (random() < 0.5) fleet.end(each, { isPlanned: true });
      }
      return "stop";
    case 3:
      for (const each of running) if (random() < 0.5) each.cut = span;
      return "cut";
    case 4:
      gateway.cut = { from: time, to: Infinity };
      return "cut for good";
    case 5:
      for (const each of running) {
        if (random() < 0.3) each.follows = [index];
      }
      return "follow";
    case 6:
      fleet.end(gateway);
      fleet.after(200, () => fleet.start(gateway.name, gateway.follows));
      return "restart";
    case 7: {
      const control = fleet.controlHosts[index]!;
      if (fleet.controlHosts.some(({ side }) => side !== 0)) return "none";
      control.side = 1;
      fleet.after(1_500, () => control.hasLeader = false);
      fleet.after(1_500 + MAX_FAULT_MILLISECONDS * random(), () => {
        control.side = 0;
        control.hasLeader = true;
      });
      return "partition";
    }
    default:
      if (fleet.controlHosts.every(({ side }) => side === 0)) {
        fleet.restartControlHost(index);
      }
      return "restart of a control host";
  }
}
