#include "apps/scheduler/CellOwner.h"

#include <chrono>
#include <cmath>

#include <boost/fiber/operations.hpp>

#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

/// Smallest weight per core that is logged.
constexpr double kMinLoggedWeight = 0.03;
constexpr double kPerThousand = 1000.0;
constexpr double kPerCent = 100.0;
/// Most pairs in a record. At 80 bytes each they take a tenth of the store's
/// longest value.
constexpr std::size_t kMaxPairs = 1200;

void LogLearned(const InterferenceEstimator& aLearned)
{
  std::string baselines;
  for (const BaselineLatency& latency : aLearned.Baselines()) {
    baselines += latency.mServing + ":" +
                 std::to_string(std::lround(kPerCent * latency.mShare)) + ",";
  }
  std::string pairs;
  for (const InterferenceWeight& weight : aLearned.Known()) {
    if (weight.mPerCore >= kMinLoggedWeight) {
      pairs += weight.mBestEffort + ">" + weight.mServing + ":" +
               std::to_string(std::lround(kPerThousand * weight.mPerCore)) +
               ",";
    }
  }
  if (!baselines.empty()) {
    LogChange("pressures",
              { { "perMille", pairs }, { "calmPercent", baselines } });
  }
}

} // namespace

void CellOwner::RunLearnedSaves()
{
  LoadLearned();
  while (!mEnded) {
    boost::this_fiber::sleep_for(kLearnedSaveInterval);
    if (!mEnded) {
      LogLearned(mLogic.Learned());
      SaveLearned();
    }
  }
}

/// Loads what the previous owner learned. Without it placement starts with
/// averages.
void CellOwner::LoadLearned()
{
  const auto entry = mParts.mStore.Read(kLearnedKey);
  if (mEnded || absl::IsNotFound(entry.status())) {
    return;
  }
  absl::Status status = entry.status();
  if (entry.ok()) {
    const auto learned = FromJsonText<LearnedInterference>(entry->mValue);
    status = learned.status();
    if (learned.ok()) {
      mLogic.AdoptLearned(*learned);
      LogChange("pressures-adopted",
                { { "pairs", learned->mPairs.size() },
                  { "revision", entry->mModRevision } });
    }
  }
  if (!status.ok()) {
    LogWarning("pressures-unread", { { "error", status.ToString() } });
  }
}

void CellOwner::SaveLearned()
{
  const LearnedInterference learned = mLogic.Learned().WellKnown(kMaxPairs);
  if (learned.mPairs.empty()) {
    return;
  }
  StoreTransaction transaction;
  transaction.mCompares.push_back(CellUnchanged());
  transaction.mWrites.push_back(
    { std::string(kLearnedKey), ToJsonText(learned) });
  // If not applied, another owner has the cell; the election detects that.
  if (const auto result = mParts.mStore.Commit(transaction); !result.ok()) {
    LogWarning("pressures-unkept", { { "error", result.status().ToString() } });
  }
}

} // namespace foxtailbarrow::scheduler
