/**
 * Size of the pieces in which a response is written, in bytes. The progress of a reader shows with each piece that its
 * connection takes, so that a slow reader is not taken for one that stopped.
 */
const sliceBytes = 16_384;

/** Passes a response body on in small pieces. */
export async function* sliceChunks(body: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
  for await (const chunk of body) {
    for (let start = 0; start < chunk.length; start += sliceBytes) {
      yield chunk.subarray(start, start + sliceBytes);
    }
  }
}
