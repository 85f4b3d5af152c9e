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
  bool mServing = false; ///< Also submit serving and best-effort jobs.
};

/// Callers that submit jobs, poll their state and cancel some of them. Each
/// caller is a fiber; every call goes to a random scheduler over a kept-alive
/// connection.
class Callers
{
public:
  Callers(net::FiberRuntime& aRuntime,
          const Fleet& aFleet,
          PromiseChecker& aChecker,
          unsigned aSeed,
          const CallerSettings& aSettings);

  /// Starts callers, which submit until Stop() and poll states until End().
  void Start(unsigned aCount);
  void Stop() { mSubmitting = false; }
  /// Best-effort jobs are submitted until then, past Stop().
  void StopBestEffort() { mSubmittingBestEffort = false; }
  void End() { mQuerying = false; }

private:
  void Run();
  cell::JobGraph RandomJob();
  void SubmitServing();
  void SubmitBestEffort();
  cell::JobGraph ServingJob(int aImage);
  cell::JobGraph BestEffortJob();
  void PollJob(const JobId& aJob, bool aCancel);
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
  /// Separate, so that mServing does not change the other random jobs.
  std::mt19937_64 mServingRandom;
  CallerSettings mSettings;
  net::HttpClient mClient;
  bool mSubmitting = true;
  bool mSubmittingBestEffort = true;
  bool mQuerying = true;
};

} // namespace foxtailbarrow::soak
