#pragma once

#include <functional>
#include <vector>

#include "absl/random/random.h"

#include "apps/entry/ContractTable.h"
#include "apps/entry/ControlContext.h"
#include "foxtailbarrow/Messages.h"
#include "src/core/base/Snapshot.h"
#include "src/core/contract/ConfigurationSource.h"

namespace foxtailbarrow::entry {

/// Watches the contracts in the store, publishes them to the request threads
/// and sends them to agents in heartbeat replies. While the store is
/// unavailable, the last known contracts stay in force.
class ContractWatcher
{
public:
  struct Change
  {
    std::vector<Contract> mChanged;
    std::vector<CustomerId> mRemoved;
  };
  using Listener = std::function<void(const Change&)>;

  ContractWatcher(ControlContext& aContext,
                  Snapshot<ContractTable>& aTable,
                  Listener aListener);

  /// Starts the fiber that watches the store.
  void Start();

  /// Adds the contract changes that the agent has not received yet.
  void Contribute(const Heartbeat& aHeartbeat, HeartbeatReply& aReply);

  bool Has(const CustomerId& aCustomer) const;

  /// Store revision that the contracts reflect; 0 = not read yet.
  Revision AsOf() const { return mSource.AsOf(); }

private:
  void ListAndWatch();
  void OnUpdate(const ConfigurationUpdate& aUpdate);
  void Publish();

  ControlContext& mContext;
  Snapshot<ContractTable>& mTable;
  Listener mListener;
  ConfigurationSource mSource;
  absl::BitGen mRandom;
};

} // namespace foxtailbarrow::entry
