const headEnd = Buffer.from('\r\n\r\n');

/** Decodes a chunked body from the start of a buffer; undefined where it is not complete. */
function decodeChunks(buffer) {
  const parts = [];
  let offset = 0;
  for (;;) {
    const lineEnd = buffer.indexOf('\r\n', offset);
    if (lineEnd < 0) {
      return {isWhole: false, body: Buffer.concat(parts), length: buffer.length};
    }
    const size = Number.parseInt(buffer.toString('latin1', offset, lineEnd), 16);
    const start = lineEnd + 2;
    if (buffer.length < start + size + 2) {
      parts.push(buffer.subarray(start));
      return {isWhole: false, body: Buffer.concat(parts), length: buffer.length};
    }
    if (size === 0) {
      return {isWhole: true, body: Buffer.concat(parts), length: start + 2};
    }
    parts.push(buffer.subarray(start, start + size));
    offset = start + size + 2;
  }
}

/** Parses a head: the words of its first line, and its headers by lower-case name. */
export function parseHead(text) {
  const [firstLine = '', ...lines] = text.split('\r\n');
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    if (colon > 0) {
      headers[line.slice(0, colon).trim().toLowerCase()] = line.slice(colon + 1).trim();
    }
  }
  return {words: firstLine.split(' '), headers};
}

/** Reads the body that a head announces; without a length and chunks, all bytes are its body. */
export function readBody(headers, buffer, {isRequest}) {
  if (headers['transfer-encoding']?.toLowerCase() === 'chunked') {
    return decodeChunks(buffer);
  }
  const declared = headers['content-length'];
  if (declared === undefined && !isRequest) {
    return {isWhole: false, isCloseDelimited: true, body: buffer, length: buffer.length};
  }
  const length = Number(declared ?? 0);
  return {isWhole: buffer.length >= length, body: buffer.subarray(0, length), length};
}

/**
 * Reads the requests on a connection. `onRequest` is called with the method, path and headers once a head is in;
 * `whenWhole` of the request resolves with the body once that is in.
 */
export function readMessages(socket, onRequest) {
  let buffer = Buffer.alloc(0);
  let current;
  const advance = () => {
    for (;;) {
      if (current === undefined) {
        const end = buffer.indexOf(headEnd);
        if (end < 0) {
          return;
        }
        const {words, headers} = parseHead(buffer.toString('latin1', 0, end));
        buffer = buffer.subarray(end + headEnd.length);
        const [method, path] = words;
        let resolveWhole;
        const whenWhole = new Promise((resolve) => {
          resolveWhole = resolve;
        });
        current = {headers, resolveWhole};
        onRequest({method, path, headers, whenWhole});
      }
      const {isWhole, body, length} = readBody(current.headers, buffer, {isRequest: true});
      if (!isWhole) {
        return;
      }
      buffer = buffer.subarray(length);
      const {resolveWhole} = current;
      current = undefined;
      resolveWhole(body);
    }
  };
  socket.on('data', (chunk) => {
    buffer = Buffer.concat([buffer, chunk]);
    advance();
  });
}
