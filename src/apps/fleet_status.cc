#include "apps/fleet_status.h"

#include <oneapi/tbb/global_control.h>
#include <oneapi/tbb/parallel_for.h>
#include <oneapi/tbb/task_arena.h>

#include <nlohmann/json.hpp>

#include "runtime/http_client.h"

namespace savory {
namespace {

using nlohmann::json;

constexpr int kParallelCalls = 32;

Result<json> GetJson(const std::string& address, const std::string& target, Duration timeout) {
  HttpClient client(address);
  BOOST_OUTCOME_TRY(
      answer, client.Call({.target = target, .connect_timeout = timeout, .read_timeout = timeout}));
  json body = json::parse(answer.body, nullptr, false);
  if (answer.status != 200 || body.is_discarded()) {
    return Error{.kind = ErrorKind::kMalformed,
                 .detail = address + target + " answered " + std::to_string(answer.status)};
  }
  return body;
}

std::string StringField(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

std::uint64_t NumberField(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number() ? found->get<std::uint64_t>() : 0;
}

bool BoolField(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_boolean() && found->get<bool>();
}

void ReadRollout(const json& rollout, NodeStatus& status) {
  status.phase = StringField(rollout, "phase");
  status.wanted = StringField(rollout, "wanted");
  status.serving = StringField(rollout, "serving");
  status.bytes = NumberField(rollout, "bytes");
  status.total_bytes = NumberField(rollout, "total_bytes");
  status.origin_bytes = NumberField(rollout, "origin_bytes");
  status.detail = StringField(rollout, "detail");
}

NodeStatus ReadStatus(const std::string& address, Duration timeout) {
  NodeStatus status{.address = address, .vm = address};
  const auto body = GetJson(address, "/status", timeout);
  if (!body || !body.value().is_object()) return status;
  const json& object = body.value();
  status.answered = true;
  status.vm = StringField(object, "vm");
  status.role = StringField(object, "role");
  status.region = StringField(object, "region");
  status.data_centre = StringField(object, "data_centre");
  status.service = StringField(object, "service");
  status.tables_revision = NumberField(object, "tables_revision");
  status.leaving = BoolField(object, "leaving");
  status.ready = BoolField(object, "ready");
  status.members = NumberField(object, "members");
  const auto rollout = object.find("rollout");
  if (rollout != object.end() && rollout->is_object()) ReadRollout(*rollout, status);
  return status;
}

}  // namespace

std::vector<NodeStatus> ReadFleetStatus(const std::vector<std::string>& addresses,
                                        Duration timeout) {
  std::vector<NodeStatus> statuses(addresses.size());
  // The calls block on I/O, so more of them can run than there are cores.
  const oneapi::tbb::global_control parallelism(
      oneapi::tbb::global_control::max_allowed_parallelism, kParallelCalls);
  oneapi::tbb::task_arena arena(kParallelCalls);
  arena.execute([&] {
    oneapi::tbb::parallel_for(std::size_t{0}, addresses.size(), [&](std::size_t i) {
      statuses[i] = ReadStatus(addresses[i], timeout);
    });
  });
  return statuses;
}

Result<std::vector<std::string>> ReadOperatorAddresses(const std::string& vm_list,
                                                       Duration timeout) {
  BOOST_OUTCOME_TRY(rows, GetJson(vm_list, "/vms", timeout));
  if (!rows.is_array()) {
    return Error{.kind = ErrorKind::kMalformed, .detail = "the VM list is not a JSON array"};
  }
  std::vector<std::string> addresses;
  for (const json& row : rows) {
    if (!row.is_object()) continue;
    std::string address = StringField(row, "operator");
    if (!address.empty()) addresses.push_back(std::move(address));
  }
  return addresses;
}

}  // namespace savory
