#pragma once

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"
#include "src/core/placement/QuantileSketch.h"

namespace foxtailbarrow {

/// Jobs that are expected to behave alike.
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

/// What one run of a task showed.
struct RunObservation
{
  Resources mReserved;
  Resources mPeak; ///< Greatest usage measured; zero = not measured.
  Duration mRunTime{};
  bool mFinished = false;      ///< Ran to its end.
  bool mMemoryOverrun = false; ///< Stopped for using more than reserved.
};

/// Learns the size and run time of a customer's program in place of what its
/// jobs declare. Input: usage measured during runs, and their ends. A run that
/// used nearly all its processors may have wanted more: the next gets twice as
/// many, until one leaves some unused. One stopped for its memory counts as
/// having needed twice as much. So an underestimate doubles with each run.
class SizeLearner
{
public:
  void Observe(const ProgramKey& aKey, const RunObservation& aRun);

  /// What to reserve. The declared size until kEnoughRuns runs were seen, but
  /// never less than they used; from then on what was learned. Accelerators
  /// are as declared, since their use is not measured.
  Resources Estimate(const ProgramKey& aKey, const Resources& aDeclared) const;

  /// Median run time; the declared one until enough runs ended.
  Duration ExpectedRunTime(const ProgramKey& aKey, Duration aDeclared) const;

  std::size_t Size() const { return mPrograms.size(); }
  static constexpr std::size_t BytesPerProgram() { return sizeof(Learned); }

  static constexpr std::uint32_t kEnoughRuns = 3;

private:
  /// Programs remembered; beyond, some other is forgotten for each new one.
  static constexpr std::size_t kMaxPrograms = 20'000;

  struct Learned
  {
    QuantileSketch mMillicores;
    std::int64_t mMillicoresToTry = 0; ///< Twice the last that was cut off.
    QuantileSketch mMemoryMb;
    QuantileSketch mRunTimeMs;
  };

  absl::flat_hash_map<ProgramKey, Learned> mPrograms;
};

} // namespace foxtailbarrow
