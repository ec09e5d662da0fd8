/** Resolves at the first SIGTERM or SIGINT; a second one ends the process at once, with exit code 1. */
export async function waitForStopSignal(): Promise<void> {
  await new Promise<void>((resolve) => {
    let isStopping = false;
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.on(signal, () => {
        if (isStopping) {
          process.exit(1);
        }
        isStopping = true;
        resolve();
      });
    }
  });
}
