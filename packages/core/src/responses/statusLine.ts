/** A version of HTTP/1 that servers speak, and a status of RFC 9110, section 15: from 100 to 599. */
const statusLinePattern = /^HTTP\/1\.[01] [1-5]\d\d(?: |$)/;

/**
 * True for the status line of a response, without the end of the line. Anything else is no response to pass on, to take
 * for a health probe's or to read data from, whatever follows it.
 */
export function isStatusLine(line: string): boolean {
  return statusLinePattern.test(line);
}
