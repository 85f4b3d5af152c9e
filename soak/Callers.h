#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "soak/Fleet.h"
#include "soak/PromiseBook.h"
#include "src/net/HttpClient.h"

namespace foxtailbarrow::soak {

/// Callers that submit jobs, ask for their states and cancel some, each a
/// fiber. They keep their connections and use any scheduler that is there.
class Callers
{
public:
  Callers(net::FiberRuntime& aRuntime,
          const Fleet& aFleet,
          PromiseBook& aBook,
          unsigned aSeed,
          std::int64_t aCrashingPercent);

  /// Starts callers; they submit until Stop() and ask for states until End().
  void Start(unsigned aCount);
  void Stop() { mSubmitting = false; }
  void End() { mAsking = false; }

private:
  void Run();
  void Follow(const JobId& aJob, bool aCancel);
  cell::JobGraph RandomJob();
  void MakeCrashing(cell::JobGraph& aGraph);
  Told Submit(const cell::JobGraph& aGraph);
  void Ask(const JobId& aJob);
  bool Cancel(const JobId& aJob);
  absl::StatusOr<net::HttpResponse> Call(const char* aMethod,
                                         const JobId& aJob,
                                         std::string aBody);
  std::int64_t Random(std::int64_t aLeast, std::int64_t aMost);

  net::FiberRuntime& mRuntime;
  const Fleet& mFleet;
  PromiseBook& mBook;
  std::mt19937_64 mRandom;
  std::int64_t mCrashingPercent;
  net::HttpClient mClient;
  bool mSubmitting = true;
  bool mAsking = true;
};

} // namespace foxtailbarrow::soak
