#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "src/core/cell/CellRecords.h"

namespace foxtailbarrow::cell::test {

namespace {

struct PhaseCase
{
  const char* mName;
  std::optional<JobPhase> mRecorded; ///< None: no progress record.
  JobPhase mShown;
};

class RecordedPhaseTest : public testing::TestWithParam<PhaseCase>
{};

/// Whether the job is cancelled does not matter.
TEST_P(RecordedPhaseTest, IsWhatTheOwnerRecorded)
{
  std::optional<StoredProgress> progress;
  if (GetParam().mRecorded) {
    progress.emplace().mPhase = *GetParam().mRecorded;
  }
  EXPECT_EQ(SavedPhase(progress), GetParam().mShown);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  RecordedPhaseTest,
  testing::Values(
    PhaseCase{ "NotRecorded", std::nullopt, JobPhase::Queued },
    PhaseCase{ "Running", JobPhase::Running, JobPhase::Running },
    PhaseCase{ "Completed", JobPhase::Completed, JobPhase::Completed },
    PhaseCase{ "Cancelled", JobPhase::Cancelled, JobPhase::Cancelled }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::cell::test
