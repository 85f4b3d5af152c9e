#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "soak/Fleet.h"
#include "soak/PromiseChecker.h"
#include "src/net/HttpClient.h"

namespace foxtailbarrow::soak {

struct CallerSettings
{
  std::int64_t mCrashingPercent = 0; ///< Of the jobs.
  bool mServing = false; ///< Serving tasks and leftover jobs beside them.
};

/// Callers that submit jobs, ask for their states and cancel some, each a
/// fiber. They keep their connections and use any scheduler that is there.
class Callers
{
public:
  Callers(net::FiberRuntime& aRuntime,
          const Fleet& aFleet,
          PromiseChecker& aChecker,
          unsigned aSeed,
          const CallerSettings& aSettings);

  /// Starts callers; they submit until Stop() and ask for states until End().
  void Start(unsigned aCount);
  void Stop() { mSubmitting = false; }
  /// Leftover jobs go on until then.
  void StopBestEffort() { mSubmittingBestEffort = false; }
  void End() { mQuerying = false; }

private:
  void Run();
  cell::JobGraph RandomJob();
  void SubmitServing();
  void SubmitBestEffort();
  cell::JobGraph ServingJob(int aImage);
  cell::JobGraph BestEffortJob();
  void Follow(const JobId& aJob, bool aCancel);
  void MakeCrashing(cell::JobGraph& aGraph);
  SubmitOutcome Submit(const cell::JobGraph& aGraph);
  void QueryState(const JobId& aJob);
  bool Cancel(const JobId& aJob);
  absl::StatusOr<net::HttpResponse> Call(const char* aMethod,
                                         const JobId& aJob,
                                         std::string aBody);
  std::int64_t Random(std::int64_t aMin, std::int64_t aMax);

  net::FiberRuntime& mRuntime;
  const Fleet& mFleet;
  PromiseChecker& mChecker;
  std::mt19937_64 mRandom;
  /// Apart, so that the other jobs are the same with and without.
  std::mt19937_64 mServingRandom;
  CallerSettings mSettings;
  net::HttpClient mClient;
  bool mSubmitting = true;
  bool mSubmittingBestEffort = true;
  bool mQuerying = true;
};

} // namespace foxtailbarrow::soak
