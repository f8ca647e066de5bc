// standin-origin: stand-in for the rate-limited origin of weights.
#include "standins/origin.h"
#include "standins/standin_options.h"
#include "standins/standin_server.h"

int main(int argc, char** argv) {
  using savory::standins::StandinServer;
  StandinServer::BlockStopSignals();
  savory::standins::OriginOptions settings;
  savory::standins::StandinOptions options("standin-origin", "origin of weights for tests");
  options.Add("dir", settings.dir, "folder with weights/NAME and manifests/DIGEST");
  options.Add("rate", settings.rate, "bytes per second of all transfers together; 0: no limit");
  options.Add("max-connections", settings.max_connections,
              "transfers at the same time, more are answered 429; 0: no limit");
  options.Add("retry-after-s", settings.retry_after_s, "Retry-After of such answers, in seconds");
  options.ParseOrExit(argc, argv);
  savory::standins::Origin origin(settings);
  StandinServer server(options.Listen());
  origin.Mount(server);
  server.ServeUntilSignal();
}
