#include "apps/process_group.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>

namespace savory {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(10);

bool Exists(pid_t pid) { return kill(pid, 0) == 0; }

// Returns the process id that a child prints as its first line, or 0 after kTimeout.
pid_t ReadPid(const ProcessGroup& group, const std::string& name) {
  const Instant deadline = MonotonicClock::now() + kTimeout;
  while (MonotonicClock::now() < deadline) {
    const std::string log = group.ReadLog(name);
    if (log.find('\n') != std::string::npos) return std::stoi(log);
  }
  return 0;
}

// Guards against child processes and log directories that are left behind by an experiment, in
// particular when a child is stopped by SIGSTOP or ignores SIGTERM.
TEST(ProcessGroupTest, EndsAllChildrenWhenDestroyed) {
  pid_t stopped = 0;
  pid_t ignores_term = 0;
  std::string directory;
  {
    ProcessGroup group;
    directory = group.Directory();
    ASSERT_TRUE(group.Start("stopped", {"/bin/sh", "-c", "echo $$; exec sleep 100"}));
    ASSERT_TRUE(
        group.Start("ignores-term", {"/bin/sh", "-c", "trap '' TERM; echo $$; exec sleep 100"}));
    stopped = ReadPid(group, "stopped");
    ignores_term = ReadPid(group, "ignores-term");
    ASSERT_TRUE(group.Signal("stopped", SIGSTOP));
    EXPECT_TRUE(group.IsRunning("stopped"));
    EXPECT_TRUE(group.Usage("ignores-term").has_value());
  }
  EXPECT_FALSE(Exists(stopped));
  EXPECT_FALSE(Exists(ignores_term));
  EXPECT_FALSE(std::filesystem::exists(directory));
}

// Guards against child processes that are left behind when the parent receives SIGINT or is killed.
TEST(ProcessGroupTest, EndsAllChildrenWhenTheParentIsEnded) {
  for (const int signal : {SIGINT, SIGKILL}) {
    std::array<int, 2> pipe_ends = {};
    ASSERT_EQ(pipe(pipe_ends.data()), 0);
    const pid_t parent = fork();
    if (parent == 0) {
      ProcessGroup group;
      const bool started =
          group.Start("child", {"/bin/sh", "-c", "echo $$; exec sleep 100"}).has_value();
      const pid_t child = started ? ReadPid(group, "child") : 0;
      if (write(pipe_ends[1], &child, sizeof(child)) != sizeof(child)) _exit(1);
      while (true) pause();
    }
    pid_t child = 0;
    ASSERT_EQ(read(pipe_ends[0], &child, sizeof(child)), static_cast<ssize_t>(sizeof(child)));
    ASSERT_GT(child, 0);
    kill(parent, signal);
    int status = 0;
    waitpid(parent, &status, 0);
    const Instant deadline = MonotonicClock::now() + kTimeout;
    // The orphan is reaped asynchronously by another process.
    while (Exists(child) && MonotonicClock::now() < deadline) usleep(1000);
    EXPECT_FALSE(Exists(child)) << "after signal " << signal;
    close(pipe_ends[0]);
    close(pipe_ends[1]);
  }
}

// Guards against a lost exit status. The checks of graceful shutdown depend on it.
TEST(ProcessGroupTest, ReportsTheExitStatus) {
  ProcessGroup group;
  const auto result = group.RunToEnd("tool", {"/bin/sh", "-c", "echo out; exit 3"}, kTimeout);
  ASSERT_TRUE(result);
  EXPECT_EQ(result.value().status, 3);
  EXPECT_EQ(result.value().output, "out\n");
  ASSERT_TRUE(group.Start("killed", {"/bin/sleep", "100"}));
  ASSERT_TRUE(group.Signal("killed", SIGKILL));
  EXPECT_EQ(group.WaitForEnd("killed", kTimeout).value(), 128 + SIGKILL);
}

}  // namespace
}  // namespace savory
