// Bounds retries to a share of the requests.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace savory {

struct RetryBudgetOptions {
  double ratio = 0.1;                 // retries for each request
  double entry_initial_tokens = 10;   // retries available before the first request
  double account_initial_tokens = 5;  // of one client account
  double entry_max_tokens = 300;  // retries saved up; covers the 2 s until a dead agent is avoided
  double account_max_tokens = 100;
};

// A retry needs a token of the entry and one of the client account. Each request adds `ratio` to
// both, so that a failing upstream cannot multiply the load on the others.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  void OnRequest(std::string_view account);
  // Takes one retry; false when either budget is used up.
  bool TakeRetry(std::string_view account);

 private:
  // Accounts beyond this number share one budget, so that invented names cannot fill the memory.
  static constexpr std::size_t kMaxAccounts = 10'000;

  double& TokensOf(std::string_view account);

  RetryBudgetOptions options;
  double entry_tokens;
  std::map<std::string, double, std::less<>> account_tokens = {};
};

}  // namespace savory
