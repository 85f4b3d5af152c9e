#pragma once

#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "bench/routing/EventQueue.h"
#include "bench/routing/RunResult.h"
#include "bench/routing/Scenario.h"
#include "bench/routing/ServerModel.h"
#include "src/core/membership/AgentDirectory.h"
#include "src/core/retry/RetryPolicy.h"
#include "src/core/retry/WorstVerdict.h"
#include "src/core/routing/OutlierDetector.h"
#include "src/core/routing/RequestInFlight.h"
#include "src/core/routing/Router.h"

namespace foxtailbarrow::bench {

inline std::string DomainName(int aDomain)
{
  return "domain-" + std::to_string(aDomain);
}

inline int RackOf(int aServer)
{
  return aServer / kServersPerRack;
}

inline int DomainOf(int aServer)
{
  return RackOf(aServer) % kDomains;
}

/// Simulates one entry with the production directory, router, outlier detector
/// and retry policy.
class EntryModel
{
public:
  EntryModel(EventQueue& aEvents,
             std::vector<std::unique_ptr<ServerModel>>& aServers,
             const Scenario& aScenario,
             int aDomain,
             const RoutingPolicy& aPolicy,
             bool aEjects,
             unsigned aSeed,
             RunResult& aResult)
    : mEvents(aEvents)
    , mServers(aServers)
    , mScenario(aScenario)
    , mDomain(aDomain)
    , mRouter(FailureDomainId(DomainName(aDomain)), aPolicy)
    , mEjects(aEjects)
    , mBudget({}, aEvents.Now())
    , mRandom(aSeed)
    , mResult(aResult)
  {
  }

  void OnHeartbeat(const Heartbeat& aHeartbeat)
  {
    mDirectory.Apply(aHeartbeat, mEvents.Now());
  }

  void Tick()
  {
    mDirectory.Advance(mEvents.Now());
    if (mEjects) {
      mDetector.Evaluate(*mDirectory.Table(), mEvents.Now());
    }
  }

  void Request()
  {
    auto request = std::make_shared<Pending>();
    request->mArrived = mEvents.Now();
    request->mIdempotent = Chance(mScenario.mIdempotentShare);
    if (!request->mIdempotent && Chance(mScenario.mKeyedShare)) {
      request->mKey = std::to_string(mRandom());
    }
    request->mMeasured =
      mEvents.Now() >= Instant(std::chrono::hours(1)) + kWarmUp;
    mResult.mRequests += request->mMeasured ? 1 : 0;
    mBudget.OnFirstAttempt();
    Try(request);
  }

private:
  struct Pending
  {
    Instant mArrived;
    bool mIdempotent = false;
    bool mMeasured = false;
    std::string mKey;
    int mAttempts = 0;
    Verdict mEarlierVerdict = Verdict::NotRun;
    std::vector<AgentId> mTried;
  };
  using PendingPointer = std::shared_ptr<Pending>;

  /// One attempt, which ends with its response or its timeout.
  struct Attempt
  {
    explicit Attempt(Picked aPicked,
                     const OutlierDetector& aDetector,
                     Instant aNow)
      : mRequest(std::move(aPicked), aDetector, aNow)
    {
    }

    RequestInFlight mRequest;
    bool mIsOver = false;
  };

  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<>(0.0, 1.0)(mRandom) < aShare;
  }

  void Try(const PendingPointer& aRequest)
  {
    PickRequest pick;
    pick.mService = ServiceId("trips");
    pick.mIdempotencyKey = aRequest->mKey;
    pick.mIdempotent = aRequest->mIdempotent;
    pick.mExcluded = aRequest->mTried;
    Choice choice =
      mRouter.Pick(mDirectory.Table(), pick, mEvents.Now(), mRandom);
    if (auto* picked = std::get_if<Picked>(&choice)) {
      Send(aRequest, std::move(*picked));
    } else {
      const auto& refusal = std::get<NoChoice>(choice);
      RecordFailure(*aRequest,
                    WorstVerdict(refusal.mVerdict, aRequest->mEarlierVerdict));
    }
  }

  void Send(const PendingPointer& aRequest, Picked aPicked)
  {
    const int server = std::stoi(aPicked.mAgent->mAgent.Value());
    const Duration delay =
      DomainOf(server) == mDomain ? kWithinDomain : mScenario.mBetweenDomains;
    mResult.mAttempts += aRequest->mMeasured ? 1 : 0;
    mResult.mRemote +=
      aRequest->mMeasured && DomainOf(server) != mDomain ? 1 : 0;
    ++aRequest->mAttempts;
    aRequest->mTried.push_back(aPicked.mAgent->mAgent);
    auto attempt =
      std::make_shared<Attempt>(std::move(aPicked), mDetector, mEvents.Now());
    const auto finish = [this, aRequest, attempt](ServerAnswer aAnswer,
                                                  const LoadSnapshot& aLoad) {
      if (!std::exchange(attempt->mIsOver, true)) {
        Finish(aRequest, attempt->mRequest, aAnswer, aLoad);
      }
    };
    const Instant deadline = aRequest->mArrived + kDeadline;
    mEvents.After(delay, [this, server, delay, deadline, finish] {
      mServers[server]->OnRequest(
        deadline,
        [this, delay, finish](ServerAnswer aAnswer, const LoadSnapshot& aLoad) {
          mEvents.After(delay, [=] { finish(aAnswer, aLoad); });
        });
    });
    const Duration remaining = deadline - mEvents.Now();
    // A lost server never responds; any other always does.
    const Duration attemptTimeout = mServers[server]->IsLost()
                                      ? std::min(kSilentTimeout, remaining)
                                      : remaining;
    mEvents.After(attemptTimeout,
                  [finish] { finish(ServerAnswer::NoAnswer, {}); });
  }

  void Finish(const PendingPointer& aRequest,
              RequestInFlight& aInFlight,
              ServerAnswer aAnswer,
              const LoadSnapshot& aLoad)
  {
    const Instant now = mEvents.Now();
    switch (aAnswer) {
      case ServerAnswer::Done:
        aInFlight.Finish(Outcome::Success, now, aLoad);
        RecordSuccess(*aRequest);
        return;
      case ServerAnswer::Failed:
        aInFlight.Finish(OutcomeForDetector(Outcome::Failure), now, aLoad);
        Retry(aRequest, Verdict::MayHaveRun, Reason::None);
        return;
      case ServerAnswer::Refused:
        aInFlight.Finish(Outcome::Neutral, now, aLoad);
        Retry(aRequest, Verdict::NotRun, Reason::BackendServersBusy);
        return;
      case ServerAnswer::NoAnswer:
        aInFlight.Finish(OutcomeForDetector(Outcome::Failure), now);
        Retry(aRequest, Verdict::MayHaveRun, Reason::None);
        return;
    }
  }

  Outcome OutcomeForDetector(Outcome aOutcome) const
  {
    return mEjects ? aOutcome : Outcome::Neutral;
  }

  void RecordSuccess(const Pending& aRequest)
  {
    if (aRequest.mMeasured) {
      mResult.mLatencies.push_back(std::chrono::duration<double, std::milli>(
                                     mEvents.Now() - aRequest.mArrived)
                                     .count());
    }
  }

  void RecordFailure(const Pending& aRequest, Verdict aVerdict)
  {
    if (aRequest.mMeasured) {
      ++(aVerdict == Verdict::NotRun ? mResult.mRefused : mResult.mFailed);
    }
  }

  void Retry(const PendingPointer& aRequest, Verdict aVerdict, Reason aReason)
  {
    FailedAttempt attempt;
    attempt.mVerdict = aVerdict;
    attempt.mEarlierVerdict = aRequest->mEarlierVerdict;
    attempt.mReason = aReason;
    attempt.mIdempotent = aRequest->mIdempotent;
    attempt.mAttempts = aRequest->mAttempts;
    attempt.mRemaining = aRequest->mArrived + kDeadline - mEvents.Now();
    const auto decision =
      mRetry.Decide(attempt, mBudget, mEvents.Now(), mRandom);
    if (const auto* answer = std::get_if<GiveUp>(&decision)) {
      RecordFailure(*aRequest, answer->mVerdict);
      return;
    }
    aRequest->mEarlierVerdict =
      WorstVerdict(aRequest->mEarlierVerdict, aVerdict);
    mResult.mRetried += aRequest->mMeasured ? 1 : 0;
    mEvents.After(std::get<foxtailbarrow::Retry>(decision).mDelay,
                  [this, aRequest] { Try(aRequest); });
  }

  EventQueue& mEvents;
  std::vector<std::unique_ptr<ServerModel>>& mServers;
  const Scenario& mScenario;
  int mDomain;
  AgentDirectory mDirectory;
  Router mRouter;
  OutlierDetector mDetector;
  bool mEjects;
  RetryPolicy mRetry;
  RetryBudget mBudget;
  std::mt19937_64 mRandom;
  RunResult& mResult;
};

} // namespace foxtailbarrow::bench
