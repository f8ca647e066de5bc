// Limits retries to a fraction of the requests.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace savory {

struct RetryBudgetOptions {
  double ratio = 0.1;                 // retries per request
  double entry_initial_tokens = 10;   // retries possible before the first request
  double account_initial_tokens = 5;  // of one client account
  double entry_max_tokens = 300;      // covers the 2 s until a dead agent is no longer picked
  double account_max_tokens = 100;
};

// Token buckets for retries: one of the entry and one of each client account. Each request adds
// `ratio` tokens to both buckets and each retry takes a token from both, so that retries after a
// failed upstream cannot multiply the load on the others.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  void OnRequest(std::string_view account);
  // Takes a token from both buckets, or returns false if either holds less than one.
  bool TakeRetry(std::string_view account);

 private:
  // Accounts beyond this number share one bucket, so that arbitrary account names in requests
  // cannot exhaust the memory.
  static constexpr std::size_t kMaxAccounts = 10'000;

  double& TokensOf(std::string_view account);

  RetryBudgetOptions options;
  double entry_tokens;
  std::map<std::string, double, std::less<>> account_tokens = {};
};

}  // namespace savory
