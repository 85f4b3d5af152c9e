#pragma once

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"
#include "src/core/placement/QuantileSketch.h"

namespace foxtailbarrow {

/// Identifies jobs that are expected to behave alike.
struct ProgramKey
{
  CustomerId mCustomer;
  std::string mProgram;

  bool operator==(const ProgramKey&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const ProgramKey& aKey)
  {
    return H::combine(std::move(aState), aKey.mCustomer, aKey.mProgram);
  }
};

/// Measurements of one run of a task.
struct RunObservation
{
  Resources mReserved;
  Resources mPeak; ///< Maximum usage; zero = not measured.
  Duration mRunTime{};
  bool mFinished = false;      ///< Ran to completion.
  bool mMemoryOverrun = false; ///< Stopped for using more than reserved.
};

/// Learns the size and run time of a customer's program, to replace the
/// declared values. Input: usage measured during runs, and their ends. After a
/// run that used nearly all its processors, the next reserves twice as many,
/// until a run leaves some unused. A run stopped for its memory usage counts as
/// needing twice as much. An underestimate therefore doubles with each run.
class SizeLearner
{
public:
  void Observe(const ProgramKey& aKey, const RunObservation& aRun);

  /// The size to reserve: until kEnoughRuns runs were measured, the declared
  /// size, but at least what they used; then the learned size. Accelerators are
  /// as declared, since their usage is not measured.
  Resources Estimate(const ProgramKey& aKey, const Resources& aDeclared) const;

  /// Median run time; the declared one until kEnoughRuns runs ended.
  Duration ExpectedRunTime(const ProgramKey& aKey, Duration aDeclared) const;

  std::size_t Size() const { return mPrograms.size(); }
  static constexpr std::size_t BytesPerProgram() { return sizeof(Learned); }

  static constexpr std::uint32_t kEnoughRuns = 3;

private:
  /// Limit of programs; beyond it, each new one replaces an arbitrary other.
  static constexpr std::size_t kMaxPrograms = 20'000;

  struct Learned
  {
    QuantileSketch mMillicores;
    /// Twice the last reservation if it was nearly used up, else 0.
    std::int64_t mMillicoresToTry = 0;
    QuantileSketch mMemoryMb;
    QuantileSketch mRunTimeMs;
  };

  absl::flat_hash_map<ProgramKey, Learned> mPrograms;
};

} // namespace foxtailbarrow
