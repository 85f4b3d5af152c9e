#include "apps/entry/ContractWatcher.h"

#include <string>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "src/core/retry/Jitter.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::entry {

namespace {

constexpr Duration kMinRetryDelay = std::chrono::milliseconds(250);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1000);

} // namespace

ContractWatcher::ContractWatcher(ControlContext& aContext,
                                 Snapshot<ContractTable>& aTable,
                                 Listener aListener)
  : mContext(aContext)
  , mTable(aTable)
  , mListener(std::move(aListener))
{
}

void ContractWatcher::Start()
{
  mContext.mRuntime.Spawn([this] {
    while (true) {
      ListAndWatch();
      boost::this_fiber::sleep_for(
        Jitter(kMinRetryDelay, kMaxRetryDelay, mRandom));
    }
  });
}

void ContractWatcher::ListAndWatch()
{
  const auto listing = mContext.mStore.List(kContractPrefix);
  if (!listing.ok()) {
    return;
  }
  OnUpdate(mSource.ApplyListing(*listing));
  if (mTable.Load()->mAsOf == 0) {
    Publish(); // Marks the table as read even if there are no contracts.
  }
  const absl::Status ended =
    mContext.mStore.Watch(kContractPrefix,
                          listing->mRevision,
                          [this](const std::vector<StoreEvent>& aEvents) {
                            OnUpdate(mSource.ApplyEvents(aEvents));
                            return !mSource.NeedsListing();
                          });
  LogChange("contract-watch-ended",
            { { "cause", std::string(ended.message()) } });
}

void ContractWatcher::OnUpdate(const ConfigurationUpdate& aUpdate)
{
  for (const absl::Status& error : aUpdate.mErrors) {
    LogError("contract-unreadable",
             { { "problem", std::string(error.message()) } });
  }
  if (aUpdate.mChanged.empty()) {
    return;
  }
  Publish();
  Change change;
  const auto view = mSource.View();
  for (const CustomerId& customer : aUpdate.mChanged) {
    if (const Contract* contract = view->Find(customer)) {
      change.mChanged.push_back(*contract);
    } else {
      change.mRemoved.push_back(customer);
    }
  }
  mListener(change);
}

void ContractWatcher::Publish()
{
  const auto view = mSource.View();
  const auto previous = mTable.Load();
  auto table = std::make_shared<ContractTable>();
  table->mAsOf = mSource.AsOf();
  for (const auto& record : view->ByRevision()) {
    if (record->mContract == nullptr) {
      continue;
    }
    const CustomerState* known = previous->Find(record->mCustomer);
    table->mCustomers.emplace(
      record->mCustomer,
      CustomerState{ record->mContract,
                     known != nullptr
                       ? known->mAdmission
                       : std::make_shared<CustomerAdmission>() });
  }
  LogChange("contracts-in-force",
            { { "revision", view->Newest() },
              { "contracts", table->mCustomers.size() } });
  mTable.Publish(std::move(table));
}

void ContractWatcher::Contribute(const Heartbeat& aHeartbeat,
                                 HeartbeatReply& aReply)
{
  WriteDelta(mSource.Answer(aHeartbeat), aReply);
}

bool ContractWatcher::Has(const CustomerId& aCustomer) const
{
  return mSource.View()->Find(aCustomer) != nullptr;
}

} // namespace foxtailbarrow::entry
