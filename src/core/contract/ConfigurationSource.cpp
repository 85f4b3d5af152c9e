#include "src/core/contract/ConfigurationSource.h"

#include <algorithm>
#include <string>
#include <utility>

#include "absl/container/flat_hash_set.h"

#include "src/core/contract/ContractDocument.h"

namespace foxtailbarrow {

namespace {

CustomerId CustomerOf(const std::string& aKey)
{
  return CustomerId(aKey.substr(std::min(aKey.size(), kContractPrefix.size())));
}

absl::StatusOr<Contract> ReadDocument(const std::string& aKey,
                                      const std::string& aValue,
                                      Revision aRevision)
{
  absl::StatusOr<Contract> contract = ParseContract(aValue);
  if (!contract.ok()) {
    return absl::InvalidArgumentError(aKey + ": " +
                                      std::string(contract.status().message()));
  }
  if (contract->mCustomer != CustomerOf(aKey)) {
    return absl::InvalidArgumentError(aKey + ": customer: found \"" +
                                      contract->mCustomer.Value() +
                                      "\", allowed the customer of the key");
  }
  contract->mRevision = aRevision;
  return contract;
}

/// Applies changes to a copy of the view and collects the results.
class Applier
{
public:
  explicit Applier(ConfigurationView aView)
    : mView(std::move(aView))
  {
  }

  void Set(const std::string& aKey,
           const std::string& aValue,
           Revision aRevision)
  {
    const absl::StatusOr<Contract> contract =
      ReadDocument(aKey, aValue, aRevision);
    if (!contract.ok()) {
      mUpdate.mErrors.push_back(contract.status());
      return;
    }
    RecordResult(mView.Set(*contract), contract->mCustomer);
  }

  void Remove(const CustomerId& aCustomer, Revision aRevision)
  {
    RecordResult(mView.Remove(aCustomer, aRevision), aCustomer);
  }

  void RemoveAllBut(const absl::flat_hash_set<CustomerId>& aPresent,
                    Revision aRevision)
  {
    std::vector<CustomerId> removed;
    for (const auto& record : mView.ByRevision()) {
      if (record->mContract && !aPresent.contains(record->mCustomer)) {
        removed.push_back(record->mCustomer);
      }
    }
    for (const CustomerId& customer : removed) {
      Remove(customer, aRevision);
    }
  }

  ConfigurationView mView;
  ConfigurationUpdate mUpdate;

private:
  void RecordResult(ApplyResult aResult, const CustomerId& aCustomer)
  {
    if (aResult == ApplyResult::Applied) {
      mUpdate.mChanged.push_back(aCustomer);
    }
  }
};

} // namespace

ConfigurationSource::ConfigurationSource()
  : mView(std::make_shared<const ConfigurationView>())
{
}

ConfigurationUpdate ConfigurationSource::ApplyListing(
  const StoreListing& aListing)
{
  if (aListing.mRevision < mAsOf) {
    return { .mStale = true, .mChanged = {}, .mErrors = {} };
  }
  Applier applier(*View());
  absl::flat_hash_set<CustomerId> present;
  for (const StoreEntry& entry : aListing.mEntries) {
    present.insert(CustomerOf(entry.mKey));
    applier.Set(entry.mKey, entry.mValue, entry.mModRevision);
  }
  applier.RemoveAllBut(present, aListing.mRevision);
  return Finish(
    std::move(applier.mUpdate), std::move(applier.mView), aListing.mRevision);
}

ConfigurationUpdate ConfigurationSource::ApplyEvents(
  std::span<const StoreEvent> aEvents)
{
  Applier applier(*View());
  Revision asOf = mAsOf;
  for (const StoreEvent& event : aEvents) {
    // Events of one transaction share a revision, so an equal revision does not
    // prove that this event was applied.
    if (event.mModRevision < asOf) {
      applier.mUpdate.mStale = true;
      continue;
    }
    asOf = event.mModRevision;
    if (event.mValue) {
      applier.Set(event.mKey, *event.mValue, event.mModRevision);
    } else {
      applier.Remove(CustomerOf(event.mKey), event.mModRevision);
    }
  }
  return Finish(std::move(applier.mUpdate), std::move(applier.mView), asOf);
}

ConfigurationUpdate ConfigurationSource::Finish(ConfigurationUpdate aUpdate,
                                                ConfigurationView aView,
                                                Revision aAsOf)
{
  if (!aUpdate.mChanged.empty()) {
    mView.Publish(std::make_shared<const ConfigurationView>(std::move(aView)));
  }
  mAsOf = aAsOf;
  return aUpdate;
}

ConfigurationDelta ConfigurationSource::Answer(const Heartbeat& aHeartbeat,
                                               std::size_t aMaxBytes)
{
  const Revision since = aHeartbeat.mConfiguration;
  Revision stated = mNewestStated;
  while (stated < since &&
         !mNewestStated.compare_exchange_weak(stated, since)) {
  }
  if (NeedsListing()) {
    ConfigurationDelta nothing;
    nothing.mFrom = since;
    nothing.mThrough = since;
    return nothing;
  }
  // Read before the view, which may then be newer but not older.
  const Revision asOf = mAsOf;
  ConfigurationDelta delta =
    View()->ChangesSince(since, FilterFor(aHeartbeat), aMaxBytes);
  delta.mAsOf = std::max(asOf, delta.mNewest);
  return delta;
}

} // namespace foxtailbarrow
