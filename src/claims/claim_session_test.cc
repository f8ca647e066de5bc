// Compares printed sessions of ClaimBatcher with golden files. A session shows events in virtual
// time and the actions that they cause.
#include <gtest/gtest.h>

#include <deque>
#include <sstream>

#include "claims/claim_test_util.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

// How a call to the key-value service ends.
enum class CallOutcome { kAnswered, kReplyLost, kLate, kUnavailable };

std::string_view CallOutcomeName(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kAnswered:
      return "answered";
    case CallOutcome::kReplyLost:
      return "reply lost";
    case CallOutcome::kLate:
      return "late, no reply";
    case CallOutcome::kUnavailable:
      return "unavailable";
  }
  return "";
}

class Session {
 public:
  Session() {
    this->names.emplace(DigestFromRaw(TestKey("k1").View()), "k1");
    this->names.emplace(DigestFromRaw(TestKey("k2").View()), "k2");
  }

  void AddEntry(const std::string& vm) {
    ClaimBatcherOptions options{.shards = 1, .nonce_prefix = vm + std::string(8 - vm.size(), '-')};
    this->entries.emplace(vm, Entry{.batcher = ClaimBatcher(options, this->random)});
  }

  void Claim(const std::string& vm, std::uint64_t id, std::string_view key,
             std::string_view request, const std::string& replaces = "") {
    this->out << this->Time() << vm << " claim id=" << id << " key=" << key
              << " request=" << request
              << (replaces.empty() ? "" : " replaces=" + ShortNonce(replaces)) << '\n';
    this->Handle(vm, ClaimRequest{.id = id,
                                  .claim = TestClaim(key, request, vm, id),
                                  .replaces = replaces,
                                  .deadline = this->now + milliseconds(2000)});
  }

  void Finish(const std::string& vm, std::string_view key, const std::string& nonce) {
    this->out << this->Time() << vm << " finish key=" << key << " nonce=" << ShortNonce(nonce)
              << '\n';
    this->Handle(
        vm, ClaimFinish{.key = TestKey(key),
                        .nonce = nonce,
                        .answer = {.status = 201, .content_type = "text/plain", .body = "booked"}});
  }

  void Release(const std::string& vm, std::string_view key, const std::string& nonce) {
    this->out << this->Time() << vm << " release key=" << key << " nonce=" << ShortNonce(nonce)
              << '\n';
    this->Handle(vm, ClaimRelease{.key = TestKey(key), .nonce = nonce});
  }

  // Ends the oldest open call of `vm`.
  void EndCall(const std::string& vm, CallOutcome outcome = CallOutcome::kAnswered) {
    Entry& entry = this->entries.at(vm);
    ASSERT_FALSE(entry.calls.empty());
    const ClaimAction call = entry.calls.front();
    entry.calls.pop_front();
    this->out << this->Time() << vm << " call " << CallOutcomeName(outcome);
    if (const auto* read = std::get_if<ClaimRead>(&call)) {
      this->EndRead(vm, *read, outcome);
    } else {
      this->EndWrite(vm, std::get<ClaimWrite>(call), outcome);
    }
  }

  // Executes the write that ended with CallOutcome::kLate.
  void ExecuteLateWrite() {
    const bool written = this->kv.Write(this->late_write).result == ClaimWriteResult::kWritten;
    this->out << this->Time() << "late write " << (written ? "written" : "refused") << '\n';
  }

  // Advances the time by `length` and sends each tick when it is due.
  void Advance(Duration length) {
    const Instant end = this->now + length;
    while (true) {
      Instant next = end;
      std::string vm;
      for (auto& [name, entry] : this->entries) {
        if (entry.batcher.NextTick() >= next) continue;
        next = entry.batcher.NextTick();
        vm = name;
      }
      this->now = std::max(this->now, next);
      if (vm.empty()) return;
      this->Handle(vm, ClaimTick{});
    }
  }

  std::map<std::uint64_t, std::string> granted;  // nonces by request id
  std::ostringstream out;

 private:
  struct Entry {
    ClaimBatcher batcher;
    std::deque<ClaimAction> calls = {};
  };

  static std::string ShortNonce(const std::string& nonce) {
    if (nonce.size() != ClaimShard::kNonceBytes) return "none";
    return nonce.substr(0, nonce.find('-')) + '/' + std::to_string(nonce.back());
  }

  std::string Time() const { return "t=" + std::to_string(ToMillis(this->now - kStart)) + "ms "; }

  void EndRead(const std::string& vm, const ClaimRead& read, CallOutcome outcome) {
    if (outcome != CallOutcome::kAnswered) {
      this->out << '\n';
      this->Handle(vm, ClaimReadFailed{.shard = read.shard});
      return;
    }
    const ClaimReadDone done = this->kv.Read(read.shard);
    this->out << " version=" << done.version << ' ' << this->Format(done.bytes) << '\n';
    this->Handle(vm, done);
  }

  void EndWrite(const std::string& vm, const ClaimWrite& write, CallOutcome outcome) {
    ClaimWriteDone done{.shard = write.shard, .result = ClaimWriteResult::kOutcomeUnknown};
    if (outcome == CallOutcome::kUnavailable) done.result = ClaimWriteResult::kUnavailable;
    if (outcome == CallOutcome::kAnswered) {
      done = this->kv.Write(write);
    } else if (outcome == CallOutcome::kReplyLost) {
      this->kv.Write(write);
    } else if (outcome == CallOutcome::kLate) {
      this->late_write = write;
    }
    if (done.result == ClaimWriteResult::kConflict) this->out << " conflict";
    if (done.version > 0) this->out << " version=" << done.version;
    this->out << '\n';
    this->Handle(vm, done);
  }

  void Handle(const std::string& vm, const ClaimEvent& event) {
    Entry& entry = this->entries.at(vm);
    for (const ClaimAction& action : entry.batcher.Handle(event, this->now, kTestUnixS)) {
      this->out << this->Time() << "  " << vm << " -> ";
      std::visit([this](const auto& typed) { this->PrintAction(typed); }, action);
      if (!std::holds_alternative<ClaimReply>(action)) entry.calls.push_back(action);
    }
  }

  void PrintAction(const ClaimRead&) { this->out << "read\n"; }
  void PrintAction(const ClaimWrite& write) {
    this->out << "write expected=" << write.expected << ' ' << this->Format(write.bytes) << '\n';
  }
  void PrintAction(const ClaimReply& reply) {
    this->out << "reply id=" << reply.id << ' ';
    if (!reply.answer) {
      this->out << Describe(reply.answer.error()) << '\n';
      return;
    }
    if (const auto* grant = std::get_if<ClaimGranted>(&reply.answer.value())) {
      this->granted[reply.id] = grant->nonce;
      this->out << "granted " << ShortNonce(grant->nonce) << '\n';
      return;
    }
    this->out << "found " << this->Format(std::get<ClaimFound>(reply.answer.value()).claim) << '\n';
  }

  std::string Format(const std::string& bytes) const {
    const auto shard = ClaimShard::Decode(bytes, ClaimShardLimits{});
    std::string text = "[";
    for (const auto& [key, name] : this->names) {
      const wire::Claim* claim = shard ? shard.value().Find(key) : nullptr;
      if (claim != nullptr) text += this->Format(*claim);
    }
    return text + ']';
  }

  std::string Format(const wire::Claim& claim) const {
    std::string text = "(";
    for (const auto& [key, name] : this->names) {
      if (key.View().substr(0, 16) == claim.key().substr(0, 16)) text += name;
    }
    if (claim.state() == wire::CLAIM_PENDING) {
      return text + " pending " + ShortNonce(claim.nonce()) + ')';
    }
    return text + " done " + std::to_string(claim.status()) + " \"" + claim.answer() + "\")";
  }

  static constexpr Instant kStart = Instant(std::chrono::hours(1));
  Random random = Random(7);
  FakeKv kv;
  ClaimWrite late_write;
  Instant now = kStart;
  std::map<std::string, Entry> entries;
  std::map<Digest, std::string> names;
};

// Guards against a grant before the write is confirmed, an outcome that is not recorded, and a
// retry that does not get the recorded answer.
TEST(ClaimSessionTest, NormalClaim) {
  Session session;
  session.AddEntry("a");
  session.Claim("a", 1, "k1", "r1");
  session.Claim("a", 2, "k2", "r2");
  session.Advance(milliseconds(10));
  session.EndCall("a");
  session.EndCall("a");
  session.Finish("a", "k1", session.granted[1]);
  session.Advance(milliseconds(600));
  session.EndCall("a");
  session.Claim("a", 3, "k1", "r1");
  session.Claim("a", 4, "k1", "another");
  session.Advance(milliseconds(10));
  ExpectGoldenText("normal_claim", session.out.str());
}

// Guards against faults after a write that took effect but whose reply was lost: a second nonce for
// the claim, a grant after the deadline, and a key that stays blocked by a nonce that was not
// granted.
TEST(ClaimSessionTest, LostReply) {
  Session session;
  session.AddEntry("a");
  session.Claim("a", 1, "k1", "r1");
  session.Advance(milliseconds(10));
  session.EndCall("a");
  session.EndCall("a", CallOutcome::kReplyLost);
  session.Advance(milliseconds(100));
  session.EndCall("a");
  session.Claim("a", 2, "k2", "r2");
  session.Advance(milliseconds(10));
  session.EndCall("a");
  session.Advance(milliseconds(2500));
  session.EndCall("a", CallOutcome::kReplyLost);
  session.Advance(milliseconds(100));
  session.EndCall("a");
  session.EndCall("a");
  session.Claim("a", 3, "k2", "r2");
  session.Advance(milliseconds(10));
  session.EndCall("a");
  ExpectGoldenText("lost_reply", session.out.str());
}

// Guards against a key that stays blocked when a write without a reply takes effect late, after the
// claim was refused and a read did not find it.
TEST(ClaimSessionTest, LateWriteOfARefusedClaim) {
  Session session;
  session.AddEntry("a");
  session.Claim("a", 1, "k1", "r1");
  session.Advance(milliseconds(10));
  session.EndCall("a");
  session.EndCall("a", CallOutcome::kLate);
  session.Advance(milliseconds(2500));
  session.EndCall("a");
  session.ExecuteLateWrite();
  session.EndCall("a");
  session.Advance(milliseconds(100));
  session.EndCall("a");
  session.EndCall("a");
  session.Claim("a", 2, "k1", "r1");
  session.Advance(milliseconds(10));
  session.EndCall("a");
  ExpectGoldenText("late_write", session.out.str());
}

// Guards against claims that wait during an outage instead of being refused, and against outcomes
// lost in it.
TEST(ClaimSessionTest, Outage) {
  Session session;
  session.AddEntry("a");
  session.Claim("a", 1, "k1", "r1");
  session.Advance(milliseconds(10));
  session.EndCall("a");
  session.EndCall("a");
  session.Finish("a", "k1", session.granted[1]);
  session.Claim("a", 2, "k2", "r2");
  session.Advance(milliseconds(20));
  session.EndCall("a", CallOutcome::kUnavailable);
  session.Advance(milliseconds(100));
  session.EndCall("a", CallOutcome::kUnavailable);
  session.Advance(milliseconds(150));
  session.EndCall("a", CallOutcome::kUnavailable);
  session.Claim("a", 3, "k2", "r2");
  session.Advance(milliseconds(300));
  session.Claim("a", 4, "k2", "r2");
  session.EndCall("a", CallOutcome::kUnavailable);
  session.Advance(milliseconds(500));
  session.EndCall("a");
  session.EndCall("a");
  session.Claim("a", 5, "k2", "r2");
  session.Advance(milliseconds(10));
  session.EndCall("a");
  session.Claim("a", 6, "k1", "r1");
  session.Advance(milliseconds(10));
  ExpectGoldenText("outage", session.out.str());
}

// Guards against granting the same key to two entries, and against overwriting the claim of the
// other entry after a write conflict.
TEST(ClaimSessionTest, RetryThroughAnotherEntry) {
  Session session;
  session.AddEntry("a");
  session.AddEntry("b");
  session.Claim("a", 1, "k1", "r1");
  session.Claim("b", 2, "k1", "r1");
  session.Claim("b", 3, "k2", "r2");
  session.Advance(milliseconds(10));
  session.EndCall("a");
  session.EndCall("b");
  session.EndCall("a");
  session.EndCall("b");
  session.Advance(milliseconds(100));
  session.EndCall("b");
  session.EndCall("b");
  session.Finish("a", "k1", session.granted[1]);
  session.Advance(milliseconds(600));
  session.EndCall("a");
  session.Advance(milliseconds(100));
  session.EndCall("a");
  session.EndCall("a");
  session.Claim("b", 4, "k1", "r1");
  session.Advance(milliseconds(10));
  session.EndCall("b");
  ExpectGoldenText("repeat_through_another_entry", session.out.str());
}

// Guards against a claim that can never be finished because its entry has ended, and against a
// release by the replaced nonce that removes the new claim.
TEST(ClaimSessionTest, UnfinishedClaimIsReplaced) {
  Session session;
  session.AddEntry("a");
  session.AddEntry("b");
  session.Claim("a", 1, "k1", "r1");
  session.Advance(milliseconds(10));
  session.EndCall("a");
  session.EndCall("a");
  session.Claim("b", 2, "k1", "r1");
  session.Advance(milliseconds(10));
  session.EndCall("b");
  session.Claim("b", 3, "k1", "r1", session.granted[1]);
  session.Advance(milliseconds(10));
  session.EndCall("b");
  session.EndCall("b");
  EXPECT_NE(session.granted[1], session.granted[3]);
  session.Release("a", "k1", session.granted[1]);
  session.Advance(milliseconds(10));
  session.EndCall("a");
  session.Advance(milliseconds(100));
  session.EndCall("a");
  session.Finish("b", "k1", session.granted[3]);
  session.Advance(milliseconds(600));
  session.EndCall("b");
  ExpectGoldenText("unfinished_claim_is_replaced", session.out.str());
}

}  // namespace
}  // namespace savory
