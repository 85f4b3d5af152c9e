#pragma once

#include <functional>
#include <map>
#include <vector>

#include "apps/entry/ContractTable.h"
#include "apps/entry/ControlContext.h"
#include "foxtailbarrow/Messages.h"
#include "src/core/base/Snapshot.h"

namespace foxtailbarrow::entry {

/// Follows the contracts in the store by one watch and publishes them to the
/// request threads. While the store is away the last ones stay in force.
class ContractFeed
{
public:
  struct Change
  {
    std::vector<Contract> mChanged;
    std::vector<CustomerId> mRemoved;
  };
  using Listener = std::function<void(const Change&)>;

  ContractFeed(ControlContext& aContext,
               Snapshot<ContractTable>& aTable,
               Listener aListener);

  void Start();

  /// Adds to the reply what the agent has not seen yet.
  void Contribute(const Heartbeat& aHeartbeat, HeartbeatReply& aReply) const;

  bool Has(const CustomerId& aCustomer) const;
  Revision Newest() const { return mNewest; }

private:
  void Follow();
  void Apply(const std::vector<StoreEvent>& aEvents);
  void Publish();

  ControlContext& mContext;
  Snapshot<ContractTable>& mTable;
  Listener mListener;
  std::map<CustomerId, Contract> mContracts;
  Revision mNewest = 0;
};

} // namespace foxtailbarrow::entry
