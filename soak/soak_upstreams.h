// The simulated platform of a soak run: store, origin, upstreams, and the links to them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "platform/testing/engine_standin.h"
#include "platform/testing/origin_standin.h"
#include "platform/testing/store_standin.h"
#include "soak/checker.h"
#include "soak/fault_proxy.h"
#include "soak/soak_layout.h"

namespace savory {

class EventLoop;

class SoakUpstreams : public platform::EngineObserver {
 public:
  SoakUpstreams(EventLoop& loop, Checker& checker, const SoakLayout& layout);
  ~SoakUpstreams() override;

  // Starts all listeners and writes the first rules, weights version and upstream records.
  Result<void> Start();

  platform::StoreStandin& Store() { return this->store; }
  void SetStoreCondition(platform::StoreCondition condition);
  FaultProxy& StoreLink(std::size_t entry) { return *this->store_links[entry]; }
  // All open connections to the store and to upstreams.
  void SilenceConnections();
  FaultProxy& Link(std::size_t upstream) { return *this->upstreams[upstream].link; }
  std::string UpstreamId(std::size_t upstream) const;

  // Crashes the upstream; it restarts after `downtime` with another id.
  void Crash(std::size_t upstream, Duration downtime);
  // Crashes all upstreams; what was staged at them is lost.
  void LosePower(Duration downtime);
  // Another writer leaves a record that names no upstream. `number` selects its content.
  void WriteOddRecord(std::uint64_t number);
  // Marks the upstream as draining; it serves for the drain time and `extra`, exits, and is
  // replaced.
  void Drain(std::size_t upstream, Duration extra);
  // As Drain(), but removes the upstream's record instead of marking it.
  void Leave(std::size_t upstream, Duration extra);
  void SetStartDelay(std::size_t upstream, Duration delay);
  // The upstream refuses requests and says for how long.
  void AskToWait(std::size_t upstream, Duration duration);
  void SetFault(std::size_t upstream, platform::EngineFault fault);
  void SetPace(std::size_t upstream, double factor);
  void FallSilent(std::size_t upstream, Duration duration, bool reports_too);
  // The upstream stands still, and its record is away from some time of silence on until it has
  // woken.
  void StandStill(std::size_t upstream, Duration duration);
  void BreakOff(std::size_t upstream);
  void CorruptStagedChunk(std::size_t upstream, std::uint64_t seed);
  // Every fifth one; `seed` selects the first.
  void CorruptStagedChunks(std::size_t engine, std::uint64_t seed);
  // Calls of the engine's agent take up to `longest`, or `longest` each.
  void SlowAgentCalls(std::size_t engine, Duration longest, bool all_alike);
  void EndSlowAgentCalls(std::size_t engine);
  // Runs `action` as the next load request arrives at the engine, if that is within `time`.
  void AtNextLoadRequest(std::size_t engine, Duration time, std::function<void()> action);
  // Whether all chunks of the newest weights have been staged there.
  bool HasStagedNewest(std::size_t engine) const;
  // Of the last load that the engine accepted; 0: none.
  std::uint64_t LastAcceptedVersion(std::size_t engine) const;
  std::uint64_t NewestVersion() const { return this->weights_version; }
  void SwitchRoutePool();
  // The origin has the weights after `origin_delay`, unless newer ones are published before.
  void PublishWeights(Duration origin_delay = {});

  // Number of engines that hold the newest weights.
  std::size_t UpToDateEngines() const;

  void OnArrived(const platform::ArrivedRequest& request) override;
  void OnRun(const platform::ArrivedRequest& request) override;
  void OnRunEnded(std::string_view attempt_id) override;
  void OnBrokeOff(std::string_view attempt_id) override;
  void OnInterrupted(std::string_view attempt_id) override;
  void OnNotice(const platform::ArrivedRequest& request,
                const platform::UpstreamNotice& notice) override;
  void OnChunkStaged(std::string_view upstream, std::uint32_t chunk,
                     std::string_view bytes) override;
  void OnLoadRequested(std::string_view upstream) override;
  void OnLoad(std::string_view upstream, std::uint64_t version, bool complete) override;

 private:
  struct ManagedUpstream {
    Upstream record;
    std::unique_ptr<platform::EngineStandin> standin;  // null while the upstream is down
    std::unique_ptr<FaultProxy> link;
    platform::StagedChunks staged = {};  // kept while the upstream is down
    std::map<std::uint32_t, std::uint64_t> staged_versions = {};
    std::uint64_t accepted_version = 0;
    std::function<void()> at_load_request = {};
    Instant at_load_request_until = {};
    int starts = 0;
    bool leaving = false;  // until the replacement starts
    Instant still_until = {};
    Instant silent_since = {};  // as the platform sees it
    bool listed = true;         // false: the platform has removed the record for its silence
  };

  std::uint32_t SlotsOf(bool engine) const;
  ManagedUpstream* Find(std::string_view id);
  void CorruptChunk(const ManagedUpstream& managed, std::uint32_t chunk, std::string& bytes);
  // 0 if the bytes are a correct chunk of no version.
  std::uint64_t VersionOf(std::uint32_t chunk, std::string_view bytes) const;
  void StartUpstream(std::size_t index);
  void DestroyUpstream(std::size_t index);
  void ServeOn(std::size_t index, Duration extra);
  void ExitWhenIdle(std::size_t index);
  // Writes `value` as soon as the store is available; an empty value removes the key.
  void WriteWhenAvailable(const std::string& key, const std::string& value);
  // Writes the weights version that each engine has loaded into its record, removes the records of
  // upstreams that stand still, and puts them back.
  void UpdateRecords();

  EventLoop& loop;
  Checker& checker;
  SoakLayout layout;
  platform::StoreStandin store;
  platform::OriginStandin origin;
  bool store_available = true;
  std::vector<std::unique_ptr<FaultProxy>> store_links = {};
  std::vector<ManagedUpstream> upstreams = {};
  std::uint64_t config_version = 1;
  std::string moved_route_pool = "alpha";
  std::uint64_t weights_version = 1;
  Random random{1};  // durations of agents' calls
};

}  // namespace savory
