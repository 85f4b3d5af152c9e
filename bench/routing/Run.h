#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "bench/routing/EntryModel.h"

namespace foxtailbarrow::bench {

/// A policy to compare.
struct PolicyVariant
{
  std::string mName;
  RoutingPolicy mPolicy;
  bool mEjects = true; ///< Uses the outlier detector.
};

/// Simulates one scenario in virtual time.
class Run
{
public:
  Run(const Scenario& aScenario, const PolicyVariant& aVariant, unsigned aSeed)
    : mScenario(aScenario)
    , mRandom(aSeed)
  {
    for (int i = 0; i < kServers; ++i) {
      mServers.push_back(std::make_unique<ServerModel>(
        mEvents, mScenario.mSigma, aSeed * 1000 + i));
    }
    for (int i = 0; i < kEntries; ++i) {
      mEntries.push_back(std::make_unique<EntryModel>(mEvents,
                                                      mServers,
                                                      mScenario,
                                                      i % kDomains,
                                                      aVariant.mPolicy,
                                                      aVariant.mEjects,
                                                      aSeed * 1000 + 500 + i,
                                                      mResult));
    }
  }

  RunResult Execute()
  {
    for (int i = 0; i < kServers; ++i) {
      SendHeartbeat(i, 1);
    }
    mEvents.After(std::chrono::milliseconds(10), [this] { NextRequest(); });
    mEvents.After(std::chrono::seconds(1), [this] { Tick(); });
    mEvents.After(kFaultBegin, [this] { InjectFaults(); });
    mEvents.RunUntil(mEvents.Now() + kRunTime + kDeadline);
    return std::move(mResult);
  }

private:
  Duration Elapsed() const
  {
    return mEvents.Now() - Instant(std::chrono::hours(1));
  }

  /// Share of all slots that the current arrival rate occupies on average.
  double LoadNow() const
  {
    constexpr Duration kRamp = std::chrono::seconds(5);
    const Duration elapsed = Elapsed();
    if (elapsed < kPeakBegin || elapsed > kPeakEnd) {
      return mScenario.mLoad;
    }
    const double progress =
      static_cast<double>((elapsed - kPeakBegin).count()) /
      static_cast<double>(kRamp.count());
    return mScenario.mLoad +
           (mScenario.mPeakLoad - mScenario.mLoad) * std::min(progress, 1.0);
  }

  void NextRequest()
  {
    if (Elapsed() > kRunTime) {
      return;
    }
    std::uniform_int_distribution<std::size_t> entry(0, kEntries - 1);
    mEntries[entry(mRandom)]->Request();
    const double slots = kServers * kSlots;
    const double rate =
      slots * LoadNow() / static_cast<double>(kMeanService.count());
    std::exponential_distribution<double> gap(rate);
    mEvents.After(Duration(static_cast<std::int64_t>(gap(mRandom))),
                  [this] { NextRequest(); });
  }

  void SendHeartbeat(int aServer, std::uint64_t aSequence)
  {
    if (mServers[aServer]->IsLost()) {
      return;
    }
    Heartbeat heartbeat;
    heartbeat.mAgent = AgentId(std::to_string(aServer));
    heartbeat.mIncarnation = 1;
    heartbeat.mSequence = aSequence;
    heartbeat.mEndpoint = { "10.0.0." + std::to_string(aServer), 8080 };
    heartbeat.mService = ServiceId("trips");
    heartbeat.mRack = RackId(std::to_string(RackOf(aServer)));
    heartbeat.mFailureDomain = FailureDomainId(DomainName(DomainOf(aServer)));
    heartbeat.mState = ServingState::Serving;
    const LoadSnapshot load = mServers[aServer]->Load();
    heartbeat.mLoad.mSlots = load.mSlots;
    heartbeat.mLoad.mSlotsInUse = load.mSlotsInUse;
    heartbeat.mLoad.mWaiting = load.mWaiting;
    for (auto& entry : mEntries) {
      mEvents.After(mScenario.mBetweenDomains,
                    [&entry, heartbeat] { entry->OnHeartbeat(heartbeat); });
    }
    std::uniform_int_distribution<int> jitter(900, 1100);
    mEvents.After(
      std::chrono::milliseconds(jitter(mRandom)),
      [this, aServer, aSequence] { SendHeartbeat(aServer, aSequence + 1); });
  }

  void Tick()
  {
    for (auto& entry : mEntries) {
      entry->Tick();
    }
    mEvents.After(std::chrono::seconds(1), [this] { Tick(); });
  }

  void InjectFaults()
  {
    mServers[0]->Slow(mScenario.mSlowFactor);
    if (mScenario.mFails) {
      mServers[0]->Fail();
    }
    for (int i = 0; i < kServers; ++i) {
      const bool isInDomain = DomainOf(i) == DomainOf(0);
      if (RackOf(i) < mScenario.mLostRacks ||
          (mScenario.mLosesDomain && isInDomain)) {
        mServers[i]->MarkLost();
      }
    }
  }

  Scenario mScenario;
  EventQueue mEvents;
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<ServerModel>> mServers;
  RunResult mResult;
  std::vector<std::unique_ptr<EntryModel>> mEntries;
};

} // namespace foxtailbarrow::bench
