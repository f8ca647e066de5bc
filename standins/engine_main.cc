// standin-engine: stand-in for an inference engine.
#include "standins/crash_restart.h"
#include "standins/engine.h"
#include "standins/standin_options.h"
#include "standins/standin_server.h"

int main(int argc, char** argv) {
  using savory::standins::StandinServer;
  StandinServer::BlockStopSignals();
  const nlohmann::json preserved = savory::standins::TakePreservedState(argc, argv);
  savory::standins::EngineOptions settings;
  int load_lag_ms = 0;
  savory::standins::StandinOptions options("standin-engine", "inference engine for tests");
  options.Add("check-fence", settings.check_fence, "reject orders with an old fencing number");
  options.Add("check-not-after", settings.check_not_after,
              "begin no load after the not_after_unix_ms of its order");
  options.Add("load-ms", settings.load_ms, "time added to each load, in milliseconds");
  options.Add("order-delay-ms", settings.order_delay_ms,
              "time between accepting a load order and starting it; orders with a shorter "
              "deadline_ms expire");
  options.Add("first-part-ms", settings.first_part_ms, "time to the first part of an answer");
  options.Add("part-ms", settings.part_ms, "time between parts, unless the request names it");
  options.Add("restart-ms", settings.restart_ms, "time from a crash to the next start");
  options.Add("crash-word", settings.crash_word, "prompts with this word crash the engine");
  options.Add("max-running", settings.batch.max_running, "requests in the batch");
  options.Add("max-queued", settings.batch.max_queued, "requests that wait; more are refused");
  options.Add("load-lag-ms", load_lag_ms, "age of the reported load numbers");
  options.ParseOrExit(argc, argv);
  settings.batch.load_lag = std::chrono::milliseconds(load_lag_ms);
  savory::standins::Engine engine(settings, preserved);
  StandinServer server(options.Listen());
  engine.Mount(server);
  server.ServeUntilSignal();
}
