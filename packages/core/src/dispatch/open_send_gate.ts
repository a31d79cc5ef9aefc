import type { SendGate } from "./send_gate.ts";

/** Bounds nothing. */
export class OpenSendGate implements SendGate {
  admits(): boolean {
    return true;
  }

  millisecondsUntilAdmission(): number {
    return 0;
  }

  countSend(): void {}
}
