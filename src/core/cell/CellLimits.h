#pragma once

#include <cstddef>
#include <cstdint>

namespace foxtailbarrow::cell {

/// Bounds on the state of a cell's owner. They hold for any mix of jobs, so
/// that accepted jobs never take more memory than the process has.
struct CellLimits
{
  static constexpr std::size_t kDefaultMemory = std::size_t{ 256 } << 20U;
  /// Estimated memory of one open step, and of one task that has been started.
  static constexpr std::size_t kBytesPerStep = 256;
  static constexpr std::size_t kBytesPerTask = 1024;

  /// Starts in one message to an agent, in bytes. A message is limited to 1
  /// MiB, and text may take six times as many bytes there.
  static constexpr std::size_t kOrderBytes = std::size_t{ 128 } * 1024;
  /// Tasks that run on a worker or whose ends it still lists. It lists 500 ends
  /// at a time, and a report of all of them fits into a message.
  static constexpr std::size_t kTasksPerWorker = 400;

  /// The limits for a process that may use `aMemory` bytes. What is left, 0.44
  /// of it, is for the workers' state, messages and the program.
  static constexpr CellLimits ForMemory(std::size_t aMemory)
  {
    constexpr std::size_t kJobShare = 5;   // A fifth.
    constexpr std::size_t kStepShare = 16; // A sixteenth.
    constexpr std::size_t kTaskTenths = 3; // Three tenths.
    return { aMemory / kJobShare,
             static_cast<std::int64_t>(aMemory / kStepShare / kBytesPerStep),
             static_cast<std::int64_t>(aMemory / 10 * kTaskTenths /
                                       kBytesPerTask) };
  }

  /// Memory of all jobs' records. Further jobs are refused.
  std::size_t mJobBytes = 0;
  /// Steps of occurrences that are open besides the first one of their job.
  /// Further ones open late.
  std::int64_t mOpenSteps = 0;
  /// Tasks that run, or have run and are not done. Others start late.
  std::int64_t mTasks = 0;

  /// So that one job cannot use all of mOpenSteps.
  std::int64_t OpenStepsOfJob() const
  {
    constexpr std::int64_t kJobs = 8;
    return mOpenSteps / kJobs;
  }
};

} // namespace foxtailbarrow::cell
