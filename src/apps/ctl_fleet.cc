#include "apps/ctl_fleet.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "apps/ctl_tables.h"
#include "apps/fleet_status.h"
#include "base/digest.h"
#include "runtime/kv_connection.h"
#include "tables/table_edit_runner.h"

namespace savory {
namespace {

using nlohmann::ordered_json;

constexpr Duration kStatusTimeout = std::chrono::seconds(1);
constexpr std::chrono::milliseconds kWaitPollPeriod(100);
constexpr std::chrono::milliseconds kWatchPollPeriod(500);
constexpr std::size_t kMaxNames = 10;  // longer lists are abbreviated
constexpr std::size_t kDigestPrefixLength = 12;
constexpr double kMegabyte = 1e6;

Result<std::vector<std::string>> FindOperatorAddresses(const CtlOptions& options) {
  if (!options.operators.empty()) return options.operators;
  if (options.vm_list.empty()) {
    return Error{.kind = ErrorKind::kInvalidSettings,
                 .detail = "the option --operators or --vm-list is required"};
  }
  return ReadOperatorAddresses(options.vm_list, kStatusTimeout);
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string text;
  for (std::size_t i = 0; i < names.size() && i < kMaxNames; ++i) {
    text += (i == 0 ? "" : ", ") + names[i];
  }
  if (names.size() > kMaxNames) {
    text += " and " + std::to_string(names.size() - kMaxNames) + " more";
  }
  return text;
}

std::vector<std::string> FindLaggingProcesses(const std::vector<NodeStatus>& statuses,
                                              std::uint64_t revision) {
  std::vector<std::string> names;
  for (const NodeStatus& status : statuses) {
    if (!status.answered) names.push_back(status.vm + " (no answer)");
    if (status.answered && status.tables_revision < revision) {
      names.push_back(status.vm + " (revision " + std::to_string(status.tables_revision) + ")");
    }
  }
  return names;
}

ordered_json StatusJson(const NodeStatus& status) {
  ordered_json json = {{"vm", status.vm},
                       {"operator", status.address},
                       {"answered", status.answered},
                       {"role", status.role},
                       {"region", status.region},
                       {"data_centre", status.data_centre},
                       {"service", status.service},
                       {"tables_revision", status.tables_revision},
                       {"leaving", status.leaving},
                       {"ready", status.ready},
                       {"members", status.members}};
  if (!status.phase.empty()) {
    json["rollout"] = {{"phase", status.phase},
                       {"wanted", status.wanted},
                       {"serving", status.serving},
                       {"bytes", status.bytes},
                       {"total_bytes", status.total_bytes},
                       {"origin_bytes", status.origin_bytes},
                       {"detail", status.detail}};
  }
  return json;
}

void PrintStatus(const NodeStatus& status) {
  std::cout << std::left << std::setw(16) << status.vm << std::setw(7) << status.role
            << std::setw(14) << status.region << std::setw(14) << status.data_centre
            << std::setw(14) << status.service;
  if (!status.answered) {
    std::cout << "no answer\n";
    return;
  }
  std::cout << "tables " << std::setw(6) << status.tables_revision << "members " << std::setw(5)
            << status.members
            << (status.leaving ? "leaving" : (status.ready ? "ready" : "not ready"));
  if (!status.phase.empty()) {
    std::cout << "  " << status.phase << ' ' << status.serving.substr(0, kDigestPrefixLength);
  }
  if (!status.detail.empty()) std::cout << " (" << status.detail << ')';
  std::cout << '\n';
}

Result<wire::Pool> FindPool(const CtlOptions& options) {
  KvConnection kv(options.kv, kCtlCallTimeout);
  BOOST_OUTCOME_TRY(tables, ReadCurrentTables(kv));
  for (const wire::Pool& pool : tables.pools()) {
    if (pool.name() == options.arguments[0]) return pool;
  }
  return Error{.kind = ErrorKind::kRowNotFound,
               .detail = "pool " + options.arguments[0] + " does not exist"};
}

bool IsPoolMember(const NodeStatus& status, const wire::Pool& pool) {
  if (!pool.service().empty()) return status.service == pool.service();
  return std::find(pool.vms().begin(), pool.vms().end(), status.vm) != pool.vms().end();
}

// Progress of a pool's rollout, summed over the agents of the pool that answer.
struct RolloutProgress {
  std::size_t agents = 0;
  std::size_t ready = 0;
  std::uint64_t bytes = 0;
  std::uint64_t total_bytes = 0;
  std::uint64_t origin_bytes = 0;
  std::map<std::string, std::size_t> phases = {};
  std::vector<std::string> details = {};

  bool operator==(const RolloutProgress&) const = default;
};

RolloutProgress ComputeProgress(const std::vector<NodeStatus>& statuses, const wire::Pool& pool) {
  const std::string wanted = DigestFromRaw(pool.manifest()).Hex();
  RolloutProgress progress;
  for (const NodeStatus& status : statuses) {
    if (!status.answered || !IsPoolMember(status, pool)) continue;
    ++progress.agents;
    ++progress.phases[status.phase];
    if (status.ready && status.serving == wanted) ++progress.ready;
    if (status.wanted == wanted) {
      progress.bytes += status.bytes;
      progress.total_bytes += status.total_bytes;
      progress.origin_bytes += status.origin_bytes;
    }
    if (!status.detail.empty()) progress.details.push_back(status.vm + ": " + status.detail);
  }
  return progress;
}

void PrintProgress(const CtlOptions& options, const RolloutProgress& progress) {
  if (options.json) {
    const ordered_json json = {{"agents", progress.agents},
                               {"ready", progress.ready},
                               {"bytes", progress.bytes},
                               {"total_bytes", progress.total_bytes},
                               {"origin_bytes", progress.origin_bytes},
                               {"phases", progress.phases},
                               {"stopped", progress.details}};
    std::cout << json.dump() << std::endl;
    return;
  }
  std::ostringstream line;
  line << progress.ready << '/' << progress.agents << " ready  " << std::fixed
       << std::setprecision(1) << static_cast<double>(progress.bytes) / kMegabyte << '/'
       << static_cast<double>(progress.total_bytes) / kMegabyte << " MB  origin "
       << static_cast<double>(progress.origin_bytes) / kMegabyte << " MB ";
  for (const auto& [phase, count] : progress.phases) line << ' ' << phase << '=' << count;
  if (!progress.details.empty()) line << "  " << JoinNames(progress.details);
  std::cout << line.str() << std::endl;
}

}  // namespace

Result<void> RunStatus(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 0, 0));
  BOOST_OUTCOME_TRY(addresses, FindOperatorAddresses(options));
  const auto statuses = ReadFleetStatus(addresses, kStatusTimeout);
  ordered_json rows = ordered_json::array();
  for (const NodeStatus& status : statuses) {
    if (options.json) {
      rows.push_back(StatusJson(status));
    } else {
      PrintStatus(status);
    }
  }
  if (options.json) std::cout << rows.dump() << '\n';
  return success();
}

Result<void> RunWatch(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 1, 1));
  BOOST_OUTCOME_TRY(RequireKvAddress(options));
  BOOST_OUTCOME_TRY(pool, FindPool(options));
  const Instant deadline = MonotonicClock::now() + options.timeout;
  std::optional<RolloutProgress> last;
  while (true) {
    BOOST_OUTCOME_TRY(addresses, FindOperatorAddresses(options));
    const RolloutProgress progress =
        ComputeProgress(ReadFleetStatus(addresses, kStatusTimeout), pool);
    if (!last || !(*last == progress)) PrintProgress(options, progress);
    last = progress;
    if (progress.agents > 0 && progress.ready == progress.agents) return success();
    if (MonotonicClock::now() >= deadline) {
      return Error{.kind = ErrorKind::kTimeout,
                   .detail = std::to_string(progress.agents - progress.ready) +
                             " agents do not serve the pinned manifest yet"};
    }
    std::this_thread::sleep_for(kWatchPollPeriod);
  }
}

Result<void> WaitUntilApplied(const CtlOptions& options, std::uint64_t revision) {
  const Instant start = MonotonicClock::now();
  while (true) {
    BOOST_OUTCOME_TRY(addresses, FindOperatorAddresses(options));
    const auto statuses = ReadFleetStatus(addresses, kStatusTimeout);
    const auto lagging = FindLaggingProcesses(statuses, revision);
    const Duration elapsed = MonotonicClock::now() - start;
    if (lagging.empty()) {
      if (options.json) {
        const ordered_json json = {
            {"in_force", true}, {"processes", statuses.size()}, {"seconds", ToSeconds(elapsed)}};
        std::cout << json.dump() << '\n';
      } else {
        std::cout << "in force at " << statuses.size() << " processes after " << std::fixed
                  << std::setprecision(1) << ToSeconds(elapsed) << " s\n";
      }
      return success();
    }
    if (elapsed >= options.timeout) {
      return Error{.kind = ErrorKind::kTimeout,
                   .detail = "revision " + std::to_string(revision) +
                             " is accepted but not in force at " + JoinNames(lagging)};
    }
    std::this_thread::sleep_for(kWaitPollPeriod);
  }
}

}  // namespace savory
