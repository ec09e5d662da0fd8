/** Interim responses (1xx) to one request above which the server counts as faulty. */
export const maxInterimResponses = 16;

/** Returns a handler of the interim responses to one request, which calls `onExceeded` once where they are too many. */
export function limitInterimResponses(onExceeded: () => void): () => void {
  let received = 0;
  return () => {
    received += 1;
    if (received === maxInterimResponses + 1) {
      onExceeded();
    }
  };
}
