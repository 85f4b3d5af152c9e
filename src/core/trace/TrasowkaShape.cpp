#include "src/core/trace/DeploymentShape.h"

#include <utility>

namespace foxtailbarrow {

namespace {

constexpr std::int64_t kDurationMs = 22'000;
constexpr std::int64_t kLimitChangeMs = 7'000;
constexpr std::int64_t kWatchersEndMs = 19'000;
constexpr Range kAnyTimeMs{ 500, 16'000 };

Contract MakeContract(const char* aCustomer, const char* aTeam)
{
  Contract contract;
  contract.mCustomer = CustomerId(aCustomer);
  contract.mTeam = TeamId(aTeam);
  contract.mService = ServiceId("mileage-log");
  contract.mMaxCopies = 11;
  contract.mMaxConcurrency = 300;
  contract.mRequestsPerSecond = 600;
  contract.mBurst = 300;
  contract.mBatch.mTotal = { 200'000, 800'000, 0 };
  contract.mBatch.mMaxRunningJobs = 60;
  contract.mBatch.mSharePerWorker = 0.6;
  contract.mWeights = { 3.0, 1.0 };
  return contract;
}

RequestShape TripSync()
{
  return { 6.0, "POST", "/trips/sync/", { 500, 6'000 }, false, 5'000, 6'000 };
}

RequestShape TripEdit()
{
  return { 2.0, "PUT", "/trips/", { 200, 900 }, true, 3'000, 3'000 };
}

RequestShape MonthlyLog()
{
  return { 3.0, "GET", "/logs/month/", { 0, 0 }, true, 3'000, 4'000 };
}

RequestShape Claim()
{
  return { 1.0, "POST", "/claims/", { 300, 1'500 }, false, 5'000, 8'000 };
}

JobShape DeductionReports(std::int64_t aCount)
{
  JobShape shape;
  shape.mName = "report";
  shape.mCount = aCount;
  shape.mAtMs = kAnyTimeMs;
  shape.mDeclared = { 4'000, 8'000, 0 };
  shape.mDeclaredRunMs = 10'000;
  shape.mRunMs = { 600, 5'000 };
  shape.mUsed = 0.4;
  return shape;
}

JobShape UrgentReport()
{
  JobShape shape = DeductionReports(2);
  shape.mName = "urgent-report";
  shape.mPriority = JobPriority::Urgent;
  return shape;
}

JobShape RouteWatchers(std::int64_t aCount)
{
  JobShape shape;
  shape.mName = "watcher";
  shape.mCount = aCount;
  shape.mAtMs = { 300, 3'000 };
  shape.mKind = JobKind::Standing;
  shape.mDeclared = { 500, 1'000, 0 };
  shape.mCancelAtMs = kWatchersEndMs;
  shape.mEndState = JobState::Cancelled;
  return shape;
}

/// Declares more than the capacity of any worker. Must be parked without
/// blocking other jobs.
JobShape TooLargeReport()
{
  JobShape shape = DeductionReports(1);
  shape.mName = "too-large";
  shape.mDeclared = { 128'000, 900'000, 0 };
  shape.mEndState = JobState::Parked;
  return shape;
}

} // namespace

DeploymentShape TrasowkaShape()
{
  DeploymentShape shape;
  shape.mName = "trasowka";
  shape.mDurationMs = kDurationMs;
  shape.mPeakFactor = 4.0;
  shape.mOutcomes = { 150.0, 0.995, 0.005, 0.98, 8, 20'000 };
  shape.mCustomers = {
    { MakeContract("hydro-krakow", "plumbers"),
      15.0,
      { TripSync(), TripEdit(), MonthlyLog(), Claim() },
      { DeductionReports(10), UrgentReport() } },
    { MakeContract("elektra-lodz", "electricians"),
      12.0,
      { TripSync(), MonthlyLog(), Claim() },
      { DeductionReports(12), TooLargeReport() } },
    { MakeContract("dachy-poznan", "roofers"),
      9.0,
      { TripSync(), TripEdit(), MonthlyLog() },
      { DeductionReports(8) } },
    { MakeContract("flota-wisla", "fleets"),
      6.0,
      { TripSync(), MonthlyLog() },
      { RouteWatchers(6) } },
  };
  shape.mCustomers.front().mContract.mUrgentAllowed = true;
  shape.mChanges = { WithDoubledLimits(shape.mCustomers.front().mContract,
                                       kLimitChangeMs) };
  return shape;
}

} // namespace foxtailbarrow
