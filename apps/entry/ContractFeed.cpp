#include "apps/entry/ContractFeed.h"

#include <string>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "absl/container/flat_hash_set.h"

#include "src/core/contract/ContractDocument.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::entry {

namespace {

constexpr std::string_view kContractsPrefix = "/foxtailbarrow/contracts/";
constexpr Duration kRetryInterval = std::chrono::milliseconds(500);

CustomerId CustomerOf(const std::string& aKey)
{
  return CustomerId(aKey.substr(kContractsPrefix.size()));
}

} // namespace

ContractFeed::ContractFeed(ControlContext& aContext,
                           Snapshot<ContractTable>& aTable,
                           Listener aListener)
  : mContext(aContext)
  , mTable(aTable)
  , mListener(std::move(aListener))
{
}

void ContractFeed::Start()
{
  mContext.mRuntime.Spawn([this] {
    while (true) {
      Follow();
      boost::this_fiber::sleep_for(kRetryInterval);
    }
  });
}

void ContractFeed::Follow()
{
  const auto listing = mContext.mStore.List(kContractsPrefix);
  if (!listing.ok() || listing->mRevision < mNewest) {
    return;
  }
  std::vector<StoreEvent> events;
  absl::flat_hash_set<CustomerId> present;
  for (const StoreEntry& entry : listing->mEntries) {
    present.insert(CustomerOf(entry.mKey));
    events.push_back({ entry.mKey, entry.mValue, entry.mModRevision });
  }
  for (const auto& [customer, contract] : mContracts) {
    if (!present.contains(customer)) {
      events.push_back({ std::string(kContractsPrefix) + customer.Value(),
                         std::nullopt,
                         listing->mRevision });
    }
  }
  Apply(events);
  mNewest = std::max(mNewest, listing->mRevision);
  const absl::Status ended =
    mContext.mStore.Watch(kContractsPrefix,
                          listing->mRevision,
                          [this](const std::vector<StoreEvent>& aEvents) {
                            Apply(aEvents);
                            return true;
                          });
  LogChange("contract-watch-ended",
            { { "cause", std::string(ended.message()) } });
}

void ContractFeed::Apply(const std::vector<StoreEvent>& aEvents)
{
  Change change;
  for (const StoreEvent& event : aEvents) {
    const CustomerId customer = CustomerOf(event.mKey);
    const auto known = mContracts.find(customer);
    if (known != mContracts.end() &&
        known->second.mRevision >= event.mModRevision) {
      continue;
    }
    mNewest = std::max(mNewest, event.mModRevision);
    if (!event.mValue) {
      mContracts.erase(customer);
      change.mRemoved.push_back(customer);
      continue;
    }
    absl::StatusOr<Contract> contract = ParseContract(*event.mValue);
    if (!contract.ok() || contract->mCustomer != customer) {
      LogError("contract-unreadable", { { "key", event.mKey } });
      continue;
    }
    contract->mRevision = event.mModRevision;
    mContracts[customer] = *contract;
    change.mChanged.push_back(*std::move(contract));
  }
  if (change.mChanged.empty() && change.mRemoved.empty()) {
    return;
  }
  Publish();
  mListener(change);
}

void ContractFeed::Publish()
{
  auto table = std::make_shared<ContractTable>();
  for (const auto& [customer, contract] : mContracts) {
    table->mContracts.emplace(customer,
                              std::make_shared<const Contract>(contract));
  }
  mTable.Publish(std::move(table));
  LogChange("contracts-in-force",
            { { "revision", mNewest }, { "contracts", mContracts.size() } });
}

void ContractFeed::Contribute(const Heartbeat& aHeartbeat,
                              HeartbeatReply& aReply) const
{
  aReply.mConfiguration = mNewest;
  for (const auto& [customer, contract] : mContracts) {
    if (contract.mRevision > aHeartbeat.mConfiguration) {
      aReply.mContracts.push_back(contract);
    }
  }
}

bool ContractFeed::Has(const CustomerId& aCustomer) const
{
  return mContracts.contains(aCustomer);
}

} // namespace foxtailbarrow::entry
