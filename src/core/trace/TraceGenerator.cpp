#include "src/core/trace/TraceGenerator.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>
#include <utility>

#include "absl/random/bit_gen_ref.h"
#include "absl/random/distributions.h"
#include "absl/strings/str_cat.h"

namespace foxtailbarrow {

namespace {

constexpr double kMsPerSecond = 1000.0;
/// Sigma of the log-normal service times: the 99th percentile is about five
/// times the median.
constexpr double kServiceSigma = 0.7;
constexpr double kMaxServiceFactor = 12.0;
constexpr std::int64_t kPathNumbers = 5'000;

class TraceGenerator
{
public:
  TraceGenerator(const DeploymentShape& aShape, std::uint64_t aSeed)
    : mShape(aShape)
    , mRandom(aSeed)
  {
    mTrace.mHeader.mDeployment = aShape.mName;
    mTrace.mHeader.mSeed = aSeed;
    mTrace.mHeader.mDurationMs = aShape.mDurationMs;
    mTrace.mHeader.mOutcomes = aShape.mOutcomes;
  }

  Trace Generate()
  {
    for (const CustomerShape& customer : mShape.mCustomers) {
      mTrace.mEvents.push_back(TraceContract{ 0, customer.mContract });
      AddRequests(customer);
      for (const JobShape& job : customer.mJobs) {
        AddJobs(customer.mContract.mCustomer, job);
      }
    }
    mTrace.mEvents.insert(
      mTrace.mEvents.end(), mShape.mChanges.begin(), mShape.mChanges.end());
    std::ranges::stable_sort(mTrace.mEvents, {}, AtMs);
    return std::move(mTrace);
  }

private:
  /// 1 at both ends of the trace, mPeakFactor in the middle.
  double LoadFactor(double aAtMs) const
  {
    const double angle =
      std::numbers::pi * aAtMs / static_cast<double>(mShape.mDurationMs);
    const double rise = std::pow(std::sin(angle), 2.0);
    return 1.0 + (mShape.mPeakFactor - 1.0) * rise;
  }

  /// Poisson arrivals at the peak rate, thinned to the current rate.
  void AddRequests(const CustomerShape& aCustomer)
  {
    const double peakPerMs =
      aCustomer.mRequestsPerSecond * mShape.mPeakFactor / kMsPerSecond;
    double atMs = absl::Exponential<double>(Random(), peakPerMs);
    while (atMs < static_cast<double>(mShape.mDurationMs)) {
      if (absl::Bernoulli(Random(), LoadFactor(atMs) / mShape.mPeakFactor)) {
        AddRequest(aCustomer, static_cast<std::int64_t>(atMs));
      }
      atMs += absl::Exponential<double>(Random(), peakPerMs);
    }
  }

  void AddRequest(const CustomerShape& aCustomer, std::int64_t aAtMs)
  {
    const RequestShape& shape = Choose(aCustomer.mRequests);
    TraceRequest request;
    request.mAtMs = aAtMs;
    request.mCustomer = aCustomer.mContract.mCustomer;
    request.mMethod = shape.mMethod;
    request.mPath = absl::StrCat(shape.mPath, Draw({ 1, kPathNumbers }));
    request.mBodyBytes = Draw(shape.mBodyBytes);
    request.mIdempotent = shape.mIdempotent;
    request.mDeadlineMs = shape.mDeadlineMs;
    request.mServiceUs = DrawService(shape.mMedianServiceUs);
    mTrace.mEvents.push_back(std::move(request));
  }

  const RequestShape& Choose(const std::vector<RequestShape>& aShapes)
  {
    double total = 0.0;
    for (const RequestShape& shape : aShapes) {
      total += shape.mWeight;
    }
    double remaining = absl::Uniform(Random(), 0.0, total);
    for (const RequestShape& shape : aShapes) {
      remaining -= shape.mWeight;
      if (remaining < 0.0) {
        return shape;
      }
    }
    return aShapes.back();
  }

  std::int64_t DrawService(std::int64_t aMedianUs)
  {
    const double factor =
      std::exp(absl::Gaussian(Random(), 0.0, kServiceSigma));
    return std::llround(static_cast<double>(aMedianUs) *
                        std::min(factor, kMaxServiceFactor));
  }

  void AddJobs(const CustomerId& aCustomer, const JobShape& aShape)
  {
    for (std::int64_t i = 1; i <= aShape.mCount; ++i) {
      const TraceJob job = MakeJob(aCustomer, aShape, i);
      mTrace.mEvents.push_back(job);
      if (aShape.mCancelAtMs > 0) {
        mTrace.mEvents.push_back(TraceCancel{ aShape.mCancelAtMs, job.mId });
      }
    }
  }

  TraceJob MakeJob(const CustomerId& aCustomer,
                   const JobShape& aShape,
                   std::int64_t aNumber)
  {
    TraceJob job;
    job.mAtMs = Draw(aShape.mAtMs);
    job.mId =
      JobId(absl::StrCat(aCustomer.Value(), "-", aShape.mName, "-", aNumber));
    job.mCustomer = aCustomer;
    job.mKind = aShape.mKind;
    job.mPriority = aShape.mPriority;
    job.mDeclared = aShape.mDeclared;
    job.mDeclaredRunMs = aShape.mDeclaredRunMs;
    job.mRunMs = Draw(aShape.mRunMs);
    job.mUsed.mMillicores = Scaled(aShape.mDeclared.mMillicores, aShape.mUsed);
    job.mUsed.mMemoryMb = Scaled(aShape.mDeclared.mMemoryMb, aShape.mUsed);
    job.mProgram = "sleep";
    job.mEndState = aShape.mEndState;
    return job;
  }

  static std::int64_t Scaled(std::int64_t aAmount, double aFactor)
  {
    return std::llround(static_cast<double>(aAmount) * aFactor);
  }

  std::int64_t Draw(Range aRange)
  {
    return absl::Uniform(
      absl::IntervalClosed, Random(), aRange.mMin, aRange.mMax);
  }

  absl::BitGenRef Random() { return mRandom; }

  const DeploymentShape& mShape;
  std::mt19937_64 mRandom;
  Trace mTrace;
};

} // namespace

Trace GenerateTrace(const DeploymentShape& aShape, std::uint64_t aSeed)
{
  return TraceGenerator(aShape, aSeed).Generate();
}

} // namespace foxtailbarrow
