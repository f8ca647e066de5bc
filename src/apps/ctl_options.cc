#include "apps/ctl_options.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

#include "base/settings.h"

namespace savory {
namespace {

namespace po = boost::program_options;

constexpr std::string_view kUsage = R"(Usage: savoryrouterctl COMMAND [ARGUMENTS] [OPTIONS]

Tables:
  check FILE                     check a table file
  get                            print the tables; the file can be edited and applied
  diff FILE                      print the rows in which FILE differs from the tables
  apply FILE                     write the rows of FILE
  set-pool NAME FIELD=VALUE...   change fields of a pool, or add it
  set-route NAME FIELD=VALUE...  change fields of a route, or add it
  remove-pool NAME               remove a pool that no route uses
  remove-route NAME              remove a route
  history                        print the latest revisions
  rollback REVISION              write the content of an old revision as a new revision
Fleet:
  status                         print the status of every process
  watch POOL                     print the progress of a rollout until it is complete
Requests that end upstreams:
  refusals                       print which requests are refused, and the evidence
  lift CAUSE                     accept the requests of a refusal again, at all entries
Routing:
  explain HOST PATH              print where a request would go now, and why, without sending it;
                                 asks one entry at --operators (on the users' platform, its
                                 metrics address); exit status 2: no such route or key
Weights:
  manifest FILE --name NAME --out FILE
                                 compute the manifest of a weights file, print its digest
)";

constexpr double kMaxTimeoutSeconds = 86'400;

Error UsageError(std::string detail) {
  return Error{.kind = ErrorKind::kInvalidSettings, .detail = std::move(detail)};
}

std::string DefaultAuthor() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

Result<void> CheckAddresses(const CtlOptions& options) {
  if (!options.kv.empty() && !IsAddress(options.kv)) {
    return UsageError("--kv must be IP:PORT with a numeric IP address");
  }
  if (!options.vm_list.empty() && !IsAddress(options.vm_list)) {
    return UsageError("--vm-list must be IP:PORT with a numeric IP address");
  }
  for (const std::string& address : options.operators) {
    if (!IsAddress(address)) return UsageError("--operators: " + address + " is not IP:PORT");
  }
  return success();
}

}  // namespace

Result<std::optional<CtlOptions>> ParseCtlOptions(int argc, const char* const* argv) {
  CtlOptions options;
  double timeout = ToSeconds(options.timeout);
  po::options_description visible("Options");
  visible.add_options()("kv", po::value(&options.kv), "key-value service (IP:PORT)")(
      "operators", po::value(&options.operators)->multitoken(), "operator ports (IP:PORT ...)")(
      "vm-list", po::value(&options.vm_list),
      "VM list (IP:PORT); its field `operator` holds the operator ports")(
      "author", po::value(&options.author)->default_value(DefaultAuthor()), "author of the edit")(
      "wait", po::bool_switch(&options.wait),
      "return only when every process has applied the revision")(
      "replace", po::bool_switch(&options.replace),
      "apply: remove the rows that FILE does not name")(
      "timeout", po::value(&timeout)->default_value(timeout),
      "seconds after which an edit, --wait or watch gives up")(
      "name", po::value(&options.name), "manifest: name of the weights at the origin")(
      "out", po::value(&options.out), "manifest: output file")(
      "chunk-size", po::value(&options.chunk_size)->default_value(options.chunk_size),
      "manifest: chunk size in bytes")("limit",
                                       po::value(&options.limit)->default_value(options.limit),
                                       "history: number of revisions")(
      "key", po::value(&options.key),
      "explain: API key of the request; - reads it from standard input")(
      "prompt-tokens", po::value(&options.prompt_tokens)->default_value(options.prompt_tokens),
      "explain: tokens of the prompt")(
      "answer-tokens", po::value(&options.answer_tokens)->default_value(options.answer_tokens),
      "explain: tokens of the answer at most")(
      "upstreams", po::value(&options.upstreams)->default_value(options.upstreams),
      "explain: upstreams that are described for each pool, at most 100")(
      "returned", po::bool_switch(&options.returned),
      "explain: the caller was refused before and sends the request again")(
      "json", po::bool_switch(&options.json), "print JSON")("help", "print this help")(
      "version", "print the version");
  po::options_description hidden;
  hidden.add_options()("command", po::value(&options.command))("argument",
                                                               po::value(&options.arguments));
  po::options_description all;
  all.add(visible).add(hidden);
  po::positional_options_description positions;
  positions.add("command", 1).add("argument", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
    po::notify(values);
  } catch (const po::error& error) {
    return UsageError(error.what());
  }
  if (values.contains("help")) {
    std::cout << kUsage << '\n' << visible;
    return std::optional<CtlOptions>();
  }
  if (values.contains("version")) {
    std::cout << "savoryrouterctl " << SAVORY_VERSION << '\n';
    return std::optional<CtlOptions>();
  }
  if (options.command.empty()) return UsageError("a command is required; see --help");
  if (!(timeout > 0 && timeout <= kMaxTimeoutSeconds)) {
    return UsageError("--timeout must be more than 0 and at most 86400 seconds");
  }
  options.timeout = FromSeconds(timeout);
  BOOST_OUTCOME_TRY(CheckAddresses(options));
  return std::optional(std::move(options));
}

Result<void> RequireArguments(const CtlOptions& options, std::size_t min_count,
                              std::size_t max_count) {
  if (options.arguments.size() < min_count) {
    return UsageError(options.command + ": an argument is missing; see --help");
  }
  if (options.arguments.size() > max_count) {
    return UsageError(options.command + ": unexpected argument " + options.arguments[max_count]);
  }
  return success();
}

Result<void> RequireKvAddress(const CtlOptions& options) {
  if (options.kv.empty()) return UsageError(options.command + ": the option --kv is required");
  return success();
}

}  // namespace savory
