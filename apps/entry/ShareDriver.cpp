#include "apps/entry/ShareDriver.h"

#include <memory>
#include <string>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "src/core/message/Codec.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::entry {

namespace {

constexpr std::string_view kSharesPrefix = "/foxtailbarrow/shares/";
constexpr Duration kRosterInterval = std::chrono::milliseconds(100);
constexpr Duration kPollWithoutSlot = std::chrono::seconds(1);
constexpr Duration kPollWithSlot = std::chrono::seconds(10);

std::string SlotKey(std::int32_t aSlot)
{
  return absl::StrCat("/foxtailbarrow/shares/", aSlot);
}

} // namespace

ShareDriver::ShareDriver(ControlContext& aContext,
                         const ShareSettings& aSettings,
                         const ShareOwner& aSelf,
                         const ShardOwnership& aOwnership,
                         Snapshot<ShareAllocation>& aAllocation)
  : mContext(aContext)
  , mSettings(aSettings)
  , mSelf(aSelf)
  , mOwnership(aOwnership)
  , mAllocation(aAllocation)
  , mAllocator(aSettings, aSelf)
{
}

void ShareDriver::Start()
{
  mContext.mRuntime.Spawn([this] {
    while (true) {
      UpdateRoster();
      boost::this_fiber::sleep_for(kRosterInterval);
    }
  });
  mContext.mRuntime.Spawn([this] {
    while (!mReleased) {
      ReadSlots();
      boost::this_fiber::sleep_for(
        mAllocator.Allocation().mSlot ? kPollWithSlot : kPollWithoutSlot);
    }
  });
}

void ShareDriver::UpdateRoster()
{
  if (const auto tenure = mOwnership.Tenure(); tenure != mTenure) {
    if (mTenure) {
      mAllocator.OnLeft();
    }
    if (tenure) {
      mAllocator.OnJoined(MonotonicNow());
    }
    mTenure = tenure;
    mRosterConfirmedAt.reset();
  }
  const auto from = mOwnership.Roster().LastConfirmedRound();
  if (mTenure && from && from != mRosterConfirmedAt) {
    mRosterConfirmedAt = from;
    mAllocator.OnRoster(*from, LiveIds());
  }
  mAllocation.Publish(
    std::make_shared<const ShareAllocation>(mAllocator.Allocation()));
}

void ShareDriver::ReadSlots()
{
  const Instant started = MonotonicNow();
  const auto listing = mContext.mStore.List(kSharesPrefix);
  if (!listing.ok() || mReleased) {
    return;
  }
  const auto claim =
    mAllocator.OnSlots(started, MonotonicNow(), SlotsOf(*listing), LiveIds());
  if (claim) {
    Claim(*claim);
  }
}

void ShareDriver::Claim(const SlotClaim& aClaim)
{
  const std::string key = SlotKey(aClaim.mSlot);
  const auto result = mContext.mStore.Commit(
    { { { key, aClaim.mModRevision } }, { { key, ToJsonText(mSelf), 0 } } });
  if (result.ok() && result->mApplied) {
    LogChange("share-slot-claimed", { { "slot", aClaim.mSlot } });
  }
}

void ShareDriver::Release()
{
  mReleased = true;
  const auto slot = mAllocator.Allocation().mSlot;
  mAllocator.OnReleased();
  mAllocation.Publish(
    std::make_shared<const ShareAllocation>(mAllocator.Allocation()));
  if (!slot) {
    return;
  }
  const std::string key = SlotKey(*slot);
  const auto entry = mContext.mStore.Read(key);
  if (!entry.ok() || entry->mValue != ToJsonText(mSelf)) {
    return;
  }
  const auto result = mContext.mStore.Commit(
    { { { key, entry->mModRevision } }, { { key, std::nullopt, 0 } } });
  if (result.ok() && result->mApplied) {
    LogChange("share-slot-released", { { "slot", *slot } });
  }
}

std::vector<EntryId> ShareDriver::LiveIds() const
{
  std::vector<EntryId> ids;
  for (const LiveEntry& entry : mOwnership.Roster().Live()) {
    ids.push_back(entry.mRecord.mEntry);
  }
  return ids;
}

std::vector<ShareSlot> ShareDriver::SlotsOf(const StoreListing& aListing) const
{
  std::vector<ShareSlot> slots(static_cast<std::size_t>(mSettings.mSlots));
  for (const StoreEntry& entry : aListing.mEntries) {
    std::uint32_t slot = 0;
    const std::string text = entry.mKey.substr(kSharesPrefix.size());
    if (!absl::SimpleAtoi(text, &slot) || slot >= slots.size()) {
      continue;
    }
    slots[slot].mModRevision = entry.mModRevision;
    if (auto owner = FromJsonText<ShareOwner>(entry.mValue); owner.ok()) {
      slots[slot].mOwner = *std::move(owner);
    }
  }
  return slots;
}

} // namespace foxtailbarrow::entry
