#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "src/core/admission/ShareAllocator.h"

namespace foxtailbarrow {

/// Numbers of the model that a mutation may spoil.
struct ModelSettings
{
  ModelSettings()
  {
    // Shorter than in the product, so that schedules reach the end of a hold.
    mShares.mStandingValidity = std::chrono::seconds(36);
    mShares.mReclaimDelay = std::chrono::seconds(40);
  }

  ShareSettings mShares;
  Duration mStoreLease = std::chrono::seconds(4);
};

/// Entries, each with a clock of its own that is up to 1% wrong, and a store,
/// in virtual time under a random schedule: joins, deaths, freezes, cut-offs,
/// outages, slow and lost answers, releases. Names the worst use of a limit.
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
        mBestUse = std::max(mBestUse, limit == 1000 ? used : 0);
        if (used > limit) {
          return false;
        }
      }
    }
    return true;
  }

  /// Most of the limit 1000 that was usable at any time.
  std::int64_t BestUse() const { return mBestUse; }

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
    bool mCutOff = false;
    bool mJoined = false;
    Call mCall = Call::None;
    bool mHandled = false; ///< The store has acted; the answer is on its way.
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
    // Every clock reads differently; differences are all that counts.
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
    const int what = Draw(200);
    if (what < 12 && found == mEntries.end()) {
      Start(id);
    } else if (what < 14) {
      mOutage = !mOutage;
    } else if (what == 14) {
      mNow += std::chrono::seconds(Draw(60));
    } else if (found == mEntries.end()) {
      return;
    } else if (what < 17) {
      mEntries.erase(found);
    } else if (what < 22) {
      found->second->mFrozen = !found->second->mFrozen;
    } else if (what < 26) {
      found->second->mCutOff = !found->second->mCutOff;
    } else if (what < 28) {
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
    if (aEntry.mCutOff || mOutage) {
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
  std::int64_t mBestUse = 0;
};

} // namespace foxtailbarrow
