#include "base/daemon_signals.h"

#include <csignal>

namespace savory {

void BlockDaemonSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void UnblockSignal(int signal_number) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, signal_number);
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace savory
