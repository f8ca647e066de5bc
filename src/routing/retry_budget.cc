#include "routing/retry_budget.h"

#include <algorithm>

namespace savory {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options(options), entry_tokens(options.entry_initial_tokens) {}

double& RetryBudget::TokensOf(std::string_view account) {
  const auto found = this->account_tokens.find(account);
  if (found != this->account_tokens.end()) return found->second;
  const bool full = this->account_tokens.size() >= kMaxAccounts;
  return this->account_tokens
      .try_emplace(full ? "" : std::string(account), this->options.account_initial_tokens)
      .first->second;
}

void RetryBudget::OnRequest(std::string_view account) {
  double& tokens = this->TokensOf(account);
  tokens = std::min(tokens + this->options.ratio, this->options.account_max_tokens);
  this->entry_tokens =
      std::min(this->entry_tokens + this->options.ratio, this->options.entry_max_tokens);
}

bool RetryBudget::TakeRetry(std::string_view account) {
  double& tokens = this->TokensOf(account);
  if (tokens < 1 || this->entry_tokens < 1) return false;
  tokens -= 1;
  this->entry_tokens -= 1;
  return true;
}

}  // namespace savory
