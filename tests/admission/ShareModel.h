#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "src/core/admission/ShareAllocator.h"

namespace foxtailbarrow {

/// Settings of the model, which a mutation may change.
struct ModelSettings
{
  ModelSettings()
  {
    // Shorter than the defaults, so that runs reach the end of the reclaim
    // delay.
    mShares.mStandingValidity = std::chrono::seconds(36);
    mShares.mReclaimDelay = std::chrono::seconds(40);
  }

  ShareSettings mShares;
  Duration mStoreLease = std::chrono::seconds(4);
};

/// Simulates entries, each with a clock that runs up to 1% fast or slow, and a
/// store, in virtual time under a random schedule of joins, crashes, freezes,
/// partitions, store outages, delayed and lost answers, and releases.
class ShareModel
{
public:
  ShareModel(const ModelSettings& aSettings, std::uint64_t aSeed)
    : mSettings(aSettings)
    , mRandom(aSeed)
  {
    mSlots.resize(static_cast<std::size_t>(aSettings.mShares.mSlots));
  }

  /// True when all usable shares stayed within each of the limits.
  bool RunWithin(const std::vector<std::int64_t>& aLimits, int aSteps)
  {
    for (int i = 0; i < aSteps; ++i) {
      Step();
      for (const std::int64_t limit : aLimits) {
        const std::int64_t used = Used(limit);
        mMaxUse = std::max(mMaxUse, limit == 1000 ? used : 0);
        if (used > limit) {
          return false;
        }
      }
    }
    return true;
  }

  /// Largest share of the limit 1000 that was usable at any time.
  std::int64_t MaxUse() const { return mMaxUse; }

private:
  enum class Call
  {
    None,
    Join,
    Renew,
    Claim,
  };

  struct Entry
  {
    Entry(const ShareSettings& aSettings, ShareOwner aOwner)
      : mOwner(aOwner)
      , mAllocator(aSettings, std::move(aOwner))
    {
    }

    ShareOwner mOwner;
    ShareAllocator mAllocator;
    double mRate = 1;
    bool mFrozen = false;
    bool mPartitioned = false;
    bool mJoined = false;
    Call mCall = Call::None;
    bool mHandled = false; ///< Executed by the store; the answer is pending.
    bool mSucceeded = false;
    Instant mStarted{};
    std::vector<EntryId> mLive;
    std::vector<ShareSlot> mSlotsRead;
    std::optional<SlotClaim> mClaim;
  };

  struct RosterKey
  {
    Incarnation mIncarnation = 0;
    Duration mLapses{};
  };

  int Draw(int aBound)
  {
    return std::uniform_int_distribution<int>(0, aBound - 1)(mRandom);
  }

  Instant Local(const Entry& aEntry) const
  {
    // Clocks run at different rates; only differences of readings matter.
    const auto ticks = static_cast<double>(mNow.count()) * aEntry.mRate;
    return Instant(Duration(static_cast<Duration::rep>(ticks)));
  }

  std::int64_t Used(std::int64_t aLimit) const
  {
    std::int64_t used = 0;
    for (const auto& [id, entry] : mEntries) {
      used +=
        UsableShare(aLimit, entry->mAllocator.Allocation(), Local(*entry));
    }
    return used;
  }

  void Step()
  {
    mNow += std::chrono::milliseconds(Draw(400));
    InjectFault();
    std::erase_if(
      mRoster, [&](const auto& aItem) { return aItem.second.mLapses <= mNow; });
    for (const auto& [id, entry] : mEntries) {
      if (!entry->mFrozen) {
        Act(*entry);
      }
    }
  }

  void InjectFault()
  {
    const EntryId id("e" + std::to_string(Draw(5)));
    const auto found = mEntries.find(id);
    const int event = Draw(200);
    if (event < 12 && found == mEntries.end()) {
      Start(id);
    } else if (event < 14) {
      mOutage = !mOutage;
    } else if (event == 14) {
      mNow += std::chrono::seconds(Draw(60));
    } else if (found == mEntries.end()) {
      return;
    } else if (event < 17) {
      mEntries.erase(found);
    } else if (event < 22) {
      found->second->mFrozen = !found->second->mFrozen;
    } else if (event < 26) {
      found->second->mPartitioned = !found->second->mPartitioned;
    } else if (event < 28) {
      Release(*found->second);
      mEntries.erase(found);
    }
  }

  void Start(const EntryId& aId)
  {
    auto entry = std::make_unique<Entry>(mSettings.mShares,
                                         ShareOwner{ aId, ++mIncarnations });
    entry->mRate = 0.99 + 0.02 * Draw(1000) / 1000.0;
    mEntries.emplace(aId, std::move(entry));
  }

  void Release(Entry& aEntry)
  {
    aEntry.mAllocator.OnReleased();
    for (ShareSlot& slot : mSlots) {
      if (slot.mOwner == aEntry.mOwner) {
        slot = { std::nullopt, 0 };
      }
    }
  }

  void Act(Entry& aEntry)
  {
    if (aEntry.mCall == Call::None) {
      aEntry.mCall = !aEntry.mJoined ? Call::Join
                     : aEntry.mClaim ? Call::Claim
                                     : Call::Renew;
      aEntry.mStarted = Local(aEntry);
      aEntry.mHandled = false;
    } else if (!aEntry.mHandled) {
      TryHandle(aEntry);
    } else if (Draw(3) > 0) {
      Answer(aEntry);
    }
  }

  void TryHandle(Entry& aEntry)
  {
    if (aEntry.mPartitioned || mOutage) {
      aEntry.mCall = Call::None;
      return;
    }
    if (Draw(4) == 0) {
      return;
    }
    Handle(aEntry);
    aEntry.mHandled = true;
    if (Draw(10) == 0) { // the answer is lost
      aEntry.mCall = Call::None;
    }
  }

  void Handle(Entry& aEntry)
  {
    const EntryId& id = aEntry.mOwner.mEntry;
    const Duration lapses = mNow + mSettings.mStoreLease;
    const auto key = mRoster.find(id);
    switch (aEntry.mCall) {
      case Call::Join:
        mRoster[id] = { aEntry.mOwner.mIncarnation, lapses };
        return;
      case Call::Renew:
        aEntry.mSucceeded =
          key != mRoster.end() &&
          key->second.mIncarnation == aEntry.mOwner.mIncarnation;
        if (aEntry.mSucceeded) {
          key->second.mLapses = lapses;
        }
        aEntry.mLive.clear();
        for (const auto& [name, ignored] : mRoster) {
          aEntry.mLive.push_back(name);
        }
        aEntry.mSlotsRead = mSlots;
        return;
      case Call::Claim:
        if (ShareSlot& slot = mSlots[aEntry.mClaim->mSlot];
            slot.mModRevision == aEntry.mClaim->mModRevision) {
          slot = { aEntry.mOwner, ++mRevision };
        }
        return;
      case Call::None:
        return;
    }
  }

  void Answer(Entry& aEntry)
  {
    switch (aEntry.mCall) {
      case Call::Join:
        aEntry.mJoined = true;
        aEntry.mAllocator.OnJoined(Local(aEntry));
        break;
      case Call::Renew:
        if (aEntry.mSucceeded) {
          aEntry.mAllocator.OnRoster(aEntry.mStarted, aEntry.mLive);
        } else {
          aEntry.mJoined = false;
          aEntry.mAllocator.OnLeft();
        }
        aEntry.mClaim = aEntry.mAllocator.OnSlots(
          aEntry.mStarted, Local(aEntry), aEntry.mSlotsRead, aEntry.mLive);
        break;
      case Call::Claim:
        aEntry.mClaim.reset();
        break;
      case Call::None:
        break;
    }
    aEntry.mCall = Call::None;
  }

  ModelSettings mSettings;
  std::mt19937_64 mRandom;
  Duration mNow = std::chrono::hours(1);
  bool mOutage = false;
  Incarnation mIncarnations = 0;
  Revision mRevision = 0;
  std::map<EntryId, std::unique_ptr<Entry>> mEntries;
  std::map<EntryId, RosterKey> mRoster;
  std::vector<ShareSlot> mSlots;
  std::int64_t mMaxUse = 0;
};

} // namespace foxtailbarrow
