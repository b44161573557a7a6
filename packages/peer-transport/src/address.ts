/** Host and port of an address in the form host:port. */
export interface HostPort {
  host: string;
  port: number;
}

export const parseAddress = (address: string): HostPort => {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
};
