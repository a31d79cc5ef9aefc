const ADDRESS = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const MAX_OCTET = 255;
const MAX_PORT = 65_535;

/** Whether a text is an IPv4 address and a port that can be connected to. */
export function isServerAddress(text: string): boolean {
  const [, ...numbers] = (ADDRESS.exec(text) ?? []).map(Number);
  const port = numbers.pop();
  if (port === undefined || port < 1 || port > MAX_PORT) return false;
  return numbers.every((octet) => octet <= MAX_OCTET);
}
