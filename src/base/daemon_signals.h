// Signals to a daemon that has not started yet.
#pragma once

namespace savory {

// Blocks SIGTERM and SIGHUP until the daemon handles them, so that one that comes during its start
// is handled then instead of ending the process. Call it first in main(); threads inherit it.
void BlockDaemonSignals();

// Lets `signal_number` through to its handler.
void UnblockSignal(int signal_number);

}  // namespace savory
