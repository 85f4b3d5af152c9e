#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

#include "src/core/cell/CellScheduler.h"

namespace foxtailbarrow::cell {

namespace {

/// Latencies of one job's serving tasks in one report of a worker.
struct ServingSample
{
  std::string mImage;
  std::vector<double> mLogLatencies; ///< Logarithms of latency over target.
};

void CountTime(TaskRun& aRun,
               TaskTime& aTime,
               const StepSpec& aSpec,
               std::int64_t aFigure,
               Instant aNow)
{
  const Instant since = std::max(aRun.mRunningSince, aRun.mFigureAt);
  const auto demand =
    static_cast<double>(std::max<std::int64_t>(1, aSpec.mDemand.mMillicores));
  aTime.AddRunning(static_cast<double>(aFigure) / demand, aNow - since);
  aRun.mFigureAt = aNow;
}

} // namespace

void CellScheduler::Learn(WorkerEntry& aWorker,
                          const std::vector<RunningTask>& aRunning,
                          const CellClock& aClock)
{
  if (aClock.mNow - aWorker.mObservedAt < mSettings.mObserveInterval) {
    return;
  }
  aWorker.mObservedAt = aClock.mNow;
  constexpr double kMillicores = 1000.0;
  constexpr std::int32_t kAtWork = 100;
  aWorker.mUse.mStalledByImage.clear();
  aWorker.mUse.mBestEffortUsed = 0;
  std::map<std::string, double> cores;
  std::map<JobId, ServingSample> latencies;
  for (const RunningTask& running : aRunning) {
    const auto job = mJobs.find(running.mTask.mJob);
    if (job == mJobs.end() || job->second.Find(running.mTask) == nullptr) {
      continue;
    }
    const StepSpec& spec = job->second.Spec(running.mTask);
    if (TaskRun* run =
          job->second.FindRun(running.mTask, aWorker.mId, running.mRun)) {
      TrackStall(*run, spec, running.mFigure, aClock.mNow);
      if (spec.mBestEffort) {
        CountTime(*run,
                  job->second.Touch(running.mTask).mTime,
                  spec,
                  running.mFigure,
                  aClock.mNow);
        if (run->mStalledSince) {
          aWorker.mUse.mStalledByImage[spec.mImage] += spec.mDemand.mMillicores;
        }
      }
    }
    const auto figure = static_cast<double>(running.mFigure);
    if (spec.mBestEffort) {
      cores[spec.mImage] += figure / kMillicores;
      aWorker.mUse.mBestEffortUsed += running.mFigure;
    } else if (spec.mLatencyTarget > Duration::zero() &&
               running.mPercent == kAtWork && running.mFigure > 0) {
      const std::chrono::duration<double, std::milli> target =
        spec.mLatencyTarget;
      ServingSample& sample = latencies[running.mTask.mJob];
      sample.mImage = spec.mImage;
      sample.mLogLatencies.push_back(std::log(figure / target.count()));
    }
  }
  std::vector<ImageLoad> colocated;
  colocated.reserve(cores.size());
  for (const auto& [image, used] : cores) {
    colocated.push_back({ image, used });
  }
  for (const auto& [job, sample] : latencies) {
    const std::vector<double>& list = sample.mLogLatencies;
    const double sum = std::accumulate(list.begin(), list.end(), 0.0);
    mInterference.Observe(job,
                          sample.mImage,
                          sum / static_cast<double>(list.size()),
                          colocated,
                          aClock.mNow);
  }
}

std::vector<InterferenceWeight> CellScheduler::InterferenceWeightsOn(
  const AgentId& aAgent) const
{
  std::vector<InterferenceWeight> weights;
  const auto found = mWorkers.find(aAgent);
  if (found == mWorkers.end()) {
    return weights;
  }
  const WorkerUse& use = found->second.mUse;
  for (const std::string_view image : ServingImages(use)) {
    const std::string serving(image);
    for (const auto& [bestEffort, millicores] : use.mBestEffortByImage) {
      weights.push_back(
        { serving, bestEffort, mInterference.PerCore(serving, bestEffort) });
    }
  }
  return weights;
}

} // namespace foxtailbarrow::cell
