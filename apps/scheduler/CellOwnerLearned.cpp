#include "apps/scheduler/CellOwner.h"

#include <chrono>
#include <cmath>

#include <boost/fiber/operations.hpp>

#include "src/core/cell/CellRecords.h"
#include "src/core/message/Codec.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

/// Between two records and log lines of what was learned. Pairs are learned
/// over seconds; a write each five seconds is one in a hundred of an owner's.
constexpr Duration kLearnedSaveInterval = std::chrono::seconds(5);
/// Least weight for each core that a log line names.
constexpr double kMinLoggedWeight = 0.03;
constexpr double kPerThousand = 1000.0;
constexpr double kPerCent = 100.0;
/// Of a record: at 80 bytes each a tenth of the store's longest value.
constexpr std::size_t kMaxPairs = 1200;

void LogLearned(const InterferenceEstimator& aLearned)
{
  std::string calm;
  for (const BaselineLatency& latency : aLearned.Baselines()) {
    calm += latency.mServing + ":" +
            std::to_string(std::lround(kPerCent * latency.mShare)) + ",";
  }
  std::string pairs;
  for (const InterferenceWeight& pressure : aLearned.Known()) {
    if (pressure.mPerCore >= kMinLoggedWeight) {
      pairs += pressure.mBestEffort + ">" + pressure.mServing + ":" +
               std::to_string(std::lround(kPerThousand * pressure.mPerCore)) +
               ",";
    }
  }
  if (!calm.empty()) {
    LogChange("pressures", { { "perMille", pairs }, { "calmPercent", calm } });
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

/// What the owner before learned. Without it placing begins with averages.
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
  // Not applied: another owner has the cell, as the election will find.
  if (const auto result = mParts.mStore.Commit(transaction); !result.ok()) {
    LogWarning("pressures-unkept", { { "error", result.status().ToString() } });
  }
}

} // namespace foxtailbarrow::scheduler
