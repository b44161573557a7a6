/** Network addresses in the form host:port, with IPv6 hosts in brackets. */
import { isIPv4, isIPv6 } from 'node:net';
import { err, ok, type Result } from 'neverthrow';

export interface Address {
  /** An IPv4 or IPv6 address, without brackets. */
  host: string;
  port: number;
}

export const MAX_PORT = 65_535;

const ADDRESS_PATTERN = /^(?:\[(?<ipv6>[^\]]*)\]|(?<ipv4>[^:[\]]*)):(?<port>\d{1,5})$/;

/** Parses `192.0.2.1:80` or `[2001:db8::1]:80`; port 0 lets the operating system choose a free port. */
export const parseAddress = (text: string): Result<Address, string> => {
  const groups = ADDRESS_PATTERN.exec(text)?.groups;
  if (groups === undefined) return err('expected host:port, an IPv6 host in brackets');
  const host = groups.ipv4 ?? groups.ipv6 ?? '';
  const isValidHost = groups.ipv4 === undefined ? isIPv6(host) : isIPv4(host);
  if (!isValidHost) return err('the host is not an IP address');
  const port = Number(groups.port);
  if (port > MAX_PORT) return err(`the port is above ${MAX_PORT}`);
  return ok({ host, port });
};

/** Formats an address as host:port. */
export const formatAddress = ({ host, port }: Address): string =>
  isIPv6(host) ? `[${host}]:${port}` : `${host}:${port}`;

/** Returns whether the host is a wildcard address, to which other machines cannot connect. */
export const isWildcard = ({ host }: Address): boolean =>
  host === '0.0.0.0' || (isIPv6(host) && /^[0:]+(?:(?:ffff:)?0\.0\.0\.0)?$/i.test(host));
